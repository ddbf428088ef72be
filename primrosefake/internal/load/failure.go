package load

import (
	"context"
	"errors"
	"net"

	"connectrpc.com/connect"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/refusal"
)

// Codes of failures that the caller itself detects.
const (
	codeCallerTimeout = "caller_timeout"
	codeInterrupted   = "connection_broken"
	codeUnreachable   = "connection_refused"
)

// failure is the outcome of a request that got no answer.
type failure struct {
	code string
	fate domain.Fate
	// interrupted marks a connection that broke with the request in progress.
	interrupted bool
}

func (f *failure) notRun() bool { return f.fate == domain.FateNotRun }

// classify returns why a call failed.
func classify(ctx context.Context, err error) *failure {
	if hasRefusal(err) {
		e := refusal.FromConnect(err, "call", "")

		return &failure{code: string(e.Code), fate: e.Fate}
	}

	var op *net.OpError

	switch {
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		return &failure{code: codeCallerTimeout}
	case errors.As(err, &op) && op.Op == "dial":
		return &failure{code: codeUnreachable, fate: domain.FateNotRun}
	default:
		return &failure{code: codeInterrupted, interrupted: true}
	}
}

func hasRefusal(err error) bool {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return false
	}

	for _, d := range ce.Details() {
		if v, derr := d.Value(); derr == nil {
			if _, ok := v.(*pb.Refusal); ok {
				return true
			}
		}
	}

	return false
}
