package query

import (
	"sync"
	"time"
)

// Answers records when each searcher last answered a request and the version of
// its held snapshots that the answer carried. The zero value is ready to use. It
// is safe for concurrent use.
type Answers struct {
	mu   sync.Mutex // Guards last.
	last map[string]lastAnswer
}

type lastAnswer struct {
	at          time.Time
	heldVersion uint64
}

func (a *Answers) record(searcher string, now time.Time, heldVersion uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.last == nil {
		a.last = make(map[string]lastAnswer)
	}

	a.last[searcher] = lastAnswer{at: now, heldVersion: heldVersion}
}

func (a *Answers) get(searcher string) lastAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.last[searcher]
}

// retain removes the searchers that aren't in targets.
func (a *Answers) retain(targets map[string]*target) {
	a.mu.Lock()
	defer a.mu.Unlock()

	for id := range a.last {
		if targets[id] == nil {
			delete(a.last, id)
		}
	}
}
