package caller

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/refusal"
)

// refusing is an executor that refuses every request with one error.
type refusing struct{ err *domain.Error }

func (r refusing) Execute(context.Context, *domain.Configuration, *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	return nil, r.err
}

// Guards against a repeated key that is called not run by an instance which
// doesn't know whether an earlier sending ran.
func TestRefusalOfARepeatedKey(t *testing.T) {
	for _, c := range []struct {
		name       string
		fate       domain.Fate
		code       domain.Code
		sentBefore bool
		want       domain.Fate
	}{
		{"first sending", domain.FateNotRun, domain.CodeStoreUnavailable, false, domain.FateNotRun},
		{"store down", domain.FateNotRun, domain.CodeStoreUnavailable, true, domain.FateUnknown},
		{"no time for the claim", domain.FateNotRun, domain.CodeDeadline, true, domain.FateUnknown},
		{"instance stops", domain.FateNotRun, domain.CodeStopping, true, domain.FateUnknown},
		{"recorded as aborted", domain.FateNotRun, domain.CodeAlreadyClaimed, true, domain.FateNotRun},
		{"recorded as run", domain.FateRan, domain.CodeAlreadyClaimed, true, domain.FateRan},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := NewHandler(&configuration.Holder{}, nil, refusing{domain.Errorf(c.fate, c.code, "execute", "refused")})

			_, err := h.Execute(t.Context(), &pb.ExecuteRequest{SentBefore: c.sentBefore})
			e := refusal.FromConnect(err, "call", "")
			require.Equal(t, c.want, e.Fate)
			require.Equal(t, c.code, e.Code)
		})
	}
}
