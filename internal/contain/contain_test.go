package contain

import (
	"errors"
	"io"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

// Guards against a malformed message that ends the process, and against a panic that
// counts as proof that a request didn't run.
func TestPanicsBecomeErrors(t *testing.T) {
	before := panics.Get()
	err := Call(zerolog.New(io.Discard), "decode answer", "i-1", func() error {
		panic("index out of range")
	})

	var e *domain.Error

	require.ErrorAs(t, err, &e)
	require.Equal(t, domain.CodeInternal, e.Code)
	require.Equal(t, domain.FateUnknown, e.Fate)
	require.Equal(t, "i-1", e.Peer)
	require.Equal(t, before+1, panics.Get())

	plain := errors.New("plain")
	require.Equal(t, plain, Call(zerolog.New(io.Discard), "decode answer", "i-1", func() error { return plain }))
	require.NoError(t, Call(zerolog.New(io.Discard), "decode answer", "i-1", func() error { return nil }))
}
