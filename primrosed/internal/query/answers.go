package query

import (
	"sync"
	"time"
)

// Answers records when each searcher last answered a request and which version
// of its held snapshots it named. The zero value is ready to use. It is safe
// for concurrent use.
type Answers struct {
	mu   sync.Mutex // Guards last.
	last map[string]answered
}

type answered struct {
	at          time.Time
	heldVersion uint64
}

// note records an answer.
func (a *Answers) note(searcher string, now time.Time, heldVersion uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.last == nil {
		a.last = make(map[string]answered)
	}

	a.last[searcher] = answered{at: now, heldVersion: heldVersion}
}

func (a *Answers) of(searcher string) answered {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.last[searcher]
}

// retain forgets the searchers that keep doesn't name.
func (a *Answers) retain(keep map[string]*target) {
	a.mu.Lock()
	defer a.mu.Unlock()

	for id := range a.last {
		if keep[id] == nil {
			delete(a.last, id)
		}
	}
}
