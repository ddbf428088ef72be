// Package contain keeps a panic in the handling of one message from ending the
// process with every other request in it.
//
// It is for code that decodes the bytes of a peer, and for that of one request, whose state
// is dropped then. Code that keeps state for others isn't contained: after a panic that
// can't be trusted, and a restarted process reads it again from the platform's store.
package contain

import (
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/domain"
)

var panics = metrics.NewCounter("primrose_panics_contained_total")

// Call runs f. If f panics, it logs and counts the panic and returns a domain.Error
// with code internal and unknown fate. step says what f does, and peer whose message it
// handles.
func Call(log zerolog.Logger, step, peer string, f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			panics.Inc()

			failure := domain.Errorf(domain.FateUnknown, domain.CodeInternal, step, "panic: %v", v).WithPeer(peer)
			log.Error().Str("event", "panic_contained").Str("step", step).Str("peer", peer).
				Str("stack", string(debug.Stack())).Err(failure).Send()

			err = failure
		}
	}()

	return f()
}
