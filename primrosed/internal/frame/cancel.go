package frame

import (
	"context"
	"io"
	"time"
)

// Stream is the part of a yamux stream that CancelOnClose uses.
type Stream interface {
	io.Reader
	SetReadDeadline(t time.Time) error
}

// CancelOnClose returns a context that is cancelled when the peer closes the
// stream or sends unexpected data, and a function that stops reading and
// cancels it. The peer must have nothing more to send.
func CancelOnClose(ctx context.Context, s Stream) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})

	go func() {
		defer close(done)
		defer cancel()

		var b [1]byte

		_, _ = s.Read(b[:])
	}()

	return ctx, func() {
		_ = s.SetReadDeadline(time.Unix(1, 0))
		<-done
		cancel()
	}
}
