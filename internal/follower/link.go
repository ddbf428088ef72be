package follower

import "sync"

// Link is what the followers of one instance know together of their way to the store. While it
// gives no answers, one of them goes on trying it, and the first answer to any of them wakes the
// others. The zero value is ready to use, and it is safe for concurrent use.
type Link struct {
	mu sync.Mutex // Guards the fields below.
	// prober is the follower that tries the store; nil if none has lost it.
	prober any
	// answered is closed when the store answers.
	answered chan struct{}
}

// probes reports whether the follower is the one that tries the store, which it becomes if there
// is none. The channel is closed when the store answers another one.
func (l *Link) probes(follower any) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.prober == nil {
		l.prober = follower
	}

	if l.answered == nil {
		l.answered = make(chan struct{})
	}

	return l.prober == follower, l.answered
}

// regained records that the store has answered a follower, or that it needs no answer.
func (l *Link) regained(follower any, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if answered || l.prober == follower {
		l.prober = nil
	}

	if answered && l.answered != nil {
		close(l.answered)
		l.answered = nil
	}
}
