// Package replica exchanges copies of the store's collections between hosted
// instances: the configuration, the searchers' registrations, the list of
// instances and the evacuations. The exchange is one CopyRequest and its CopyAnswer on a yamux stream.
//
// Copies bridge outages of the store: an instance that starts during one, or that the
// store refuses, reads the collections from other instances. Nothing is sent while the
// store answers. Each copy carries the store's era and revision, and only a newer one is used,
// so that no instance returns to an older state. The newest copy wins and no instance
// is authoritative: an operator's change is still acknowledged by the store alone.
package replica

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"primrosespring.example/internal/follower"
)

// Names of the collections.
const (
	Configuration = "configuration"
	Registrations = "registrations"
	Instances     = "instances"
	Evacuations   = "evacuations"
)

const (
	// fetchTimeout bounds one exchange. A copy of a thousand registrations takes
	// 60 ms on the slowest link known (20 Mbit/s), a new connection to another
	// failure domain 30 ms, and peers may be busy.
	fetchTimeout = 400 * time.Millisecond
	// maxFetches bounds the instances that are asked at a time. The newest copy of
	// three is rarely old, and three rarely fail together.
	maxFetches = 3
	// maxRequesters bounds the recorded instances that have asked for copies.
	maxRequesters = 8
)

// revisioned is a message that carries a revision of the store.
type revisioned interface {
	GetEra() uint64
	GetRevision() uint64
}

// revisionOf returns the revision that a message carries.
func revisionOf(m revisioned) follower.Revision {
	return follower.Revision{Era: m.GetEra(), Number: m.GetRevision()}
}

var (
	given  = metrics.NewCounter(`primrose_copies_given_total`)
	asked  = metrics.NewCounter(`primrose_copies_asked_total`)
	failed = metrics.NewCounter(`primrose_copies_failed_total`)
)
