package searcher

import (
	"time"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/routing"
)

// LoadOf returns the load in a searcher's answer, or nil if it has none.
func LoadOf(l *pb.SearcherLoad) *routing.Load {
	if l == nil {
		return nil
	}

	return &routing.Load{
		Running: l.GetRunning(), Queued: l.GetQueued(), Draining: l.GetDraining(), Cold: l.GetCold(),
		Service: time.Duration(l.GetServiceUs()) * time.Microsecond,
	}
}
