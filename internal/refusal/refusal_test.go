package refusal

import (
	"context"
	"errors"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

// Guards against a refusal that loses its fate, code or field in conversion.
func TestRoundTrip(t *testing.T) {
	for _, fate := range []domain.Fate{domain.FateUnknown, domain.FateNotRun, domain.FateRan} {
		e := &domain.Error{
			Fate: fate, Code: domain.CodeOverloaded, Step: "admit", Peer: "p0a", Message: "queue is full",
			Field: "member", RetryAfter: 20 * time.Millisecond,
		}
		require.Equal(t, e, FromConnect(ToConnect(e), "call", "entry-1"))
	}
}

// Guards against a broken connection that is taken for a request that didn't run.
func TestErrorWithoutDetailHasUnknownFate(t *testing.T) {
	for _, err := range []error{
		errors.New("broken pipe"), context.DeadlineExceeded,
		connect.NewError(connect.CodeUnavailable, errors.New("refused")),
	} {
		e := FromConnect(err, "call", "entry-1")
		require.Equal(t, domain.FateUnknown, e.Fate)
		require.Equal(t, "entry-1", e.Peer)
	}

	require.Equal(t, domain.FateUnknown, FromProto(ToProto(errors.New("plain"))).Fate)
}
