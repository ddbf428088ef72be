// Package quarantine keeps which requests end the searchers that run them ("queries of death"),
// so that they are sent on carefully at first and then not at all.
//
// A searcher's end while it runs a request is a strike against the request's content, whatever
// the caller's id. It proves little: other requests that ran beside it lose their answers too.
// Therefore a content with a strike is a suspect, which is tried at one searcher at a time, and
// is held back only after MaxStrikes such ends, one after another, without any answer between.
// An answer clears it. Instances tell one another what they know: strikes, and which of them
// an answer has cleared.
package quarantine

import (
	"cmp"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// MaxStrikes is how many strikes hold a content back.
	MaxStrikes = 3
	// MaxSuspects bounds the contents that are kept; the one that was struck first is
	// dropped first.
	MaxSuspects = 512
	// maxAnswers bounds the contents of which it is remembered that a searcher answered them.
	maxAnswers = 512
	// maxKept bounds the strikes that are kept of a content, and the cleared ones.
	maxKept = 2 * MaxStrikes
	// suspicion is how long a strike counts that hasn't led to a quarantine.
	suspicion = time.Minute
	// alertTime is how long the requests of a route are sent carefully after a second content
	// of it has got its second strike.
	alertTime = 5 * time.Second
	// trialDelay is the time from a second or later strike to the next trial: searchers that
	// have ended start again within seconds, and the trial may end the last one of a shard.
	trialDelay = 5 * time.Second
	// firstDelay is the time from a single strike to a trial at another instance. The request
	// that got the strike is tried again at once by the instance that saw it, which gives
	// the content another one or, most likely, clears it there.
	firstDelay = 300 * time.Millisecond
	// trialSpread is the time over which the instances that haven't seen the last strike
	// spread their trials.
	trialSpread = 10 * time.Second
	// trialTime bounds how long one trial of a suspect keeps others waiting.
	trialTime = 2 * time.Second
)

// Strike is the end of a searcher while it ran a request.
type Strike struct {
	// Instance saw it, as its Sequence-th.
	Instance string
	Sequence uint64
	Age      time.Duration
}

// Suspect is a content under which searchers have ended. Its strikes are those without an answer
// since or, among the cleared, the last one of each instance before an answer.
type Suspect struct {
	Content Digest
	Route   string
	Strikes []Strike
}

// Validate returns an error for the first invalid field.
func (s *Suspect) Validate() error {
	if s.Route == "" || len(s.Strikes) == 0 || len(s.Strikes) > maxKept {
		return errors.Errorf("suspect %s: it must have a route and 1 to %d strikes", s.Content, maxKept)
	}

	for _, k := range s.Strikes {
		if k.Instance == "" || k.Age < 0 {
			return errors.Errorf("suspect %s: a strike has no instance or a negative age", s.Content)
		}
	}

	return nil
}

// Verdict says how a request may be sent.
type Verdict uint8

// The verdicts.
const (
	// Free requests are sent as usual.
	Free Verdict = iota
	// Careful requests are sent to one searcher first.
	Careful
	// Trial requests are careful ones of a suspect, of which only one is sent at a time.
	Trial
	// Busy requests have to wait for the trial of the same content, in progress or due later.
	Busy
	// Held requests aren't sent.
	Held
)

// Table holds the suspects that this instance knows. Create it with New. It is safe for
// concurrent use.
type Table struct {
	self string
	hold time.Duration
	// started is the sequence from which on strikes are those of this process, which needn't
	// be told of them.
	started uint64

	// known says that there are strikes or alerts, so that nothing has to be looked up without.
	known atomic.Bool

	mu       sync.Mutex // Guards the fields below.
	sequence uint64
	entries  map[Digest]*entry
	alerts   map[string]time.Time // The ends of alerts, by route.
	// expireAt is when something becomes too old next; zero if that isn't known.
	expireAt time.Time
	// answers holds when contents were answered last; recent are its keys, of which the one at
	// oldest is replaced next.
	answers map[Digest]time.Time
	recent  []Digest
	oldest  int
}

// entry is what is known of a content.
type entry struct {
	route   string
	strikes []strike // In the order of their times.
	// clearedAt is when an answer came last; earlier strikes don't count.
	clearedAt time.Time
	// cleared has the last strike of each instance that is known to have come before an answer;
	// it and the earlier ones of that instance don't count. Unlike a time, which would shift
	// with each message, this is the same at all instances.
	cleared []strike
	// trialUntil is when the trial in progress ends at the latest.
	trialUntil time.Time
}

type strike struct {
	instance string
	sequence uint64
	at       time.Time
}

// last returns the time of the last strike or, without one that counts, of the last news.
func (e *entry) last() time.Time {
	if n := len(e.strikes); n > 0 {
		return e.strikes[n-1].at
	}

	at := e.clearedAt
	if n := len(e.cleared); n > 0 && e.cleared[n-1].at.After(at) {
		at = e.cleared[n-1].at
	}

	return at
}

// clear records that an answer came after a strike.
func (e *entry) clear(k strike) {
	if e.isCleared(k) {
		return
	}

	e.cleared = slices.DeleteFunc(e.cleared, func(c strike) bool { return c.instance == k.instance })
	e.cleared = append(e.cleared, k)
	slices.SortStableFunc(e.cleared, func(a, b strike) int { return a.at.Compare(b.at) })
	e.cleared = e.cleared[max(len(e.cleared)-maxKept, 0):]
	e.strikes = slices.DeleteFunc(e.strikes, e.isCleared)
}

// isCleared reports whether a strike is known to have come before an answer.
func (e *entry) isCleared(k strike) bool {
	return slices.ContainsFunc(e.cleared, func(c strike) bool { return c.instance == k.instance && c.sequence >= k.sequence })
}

// New returns an empty table of the instance self, which holds a content back for so long after
// its last strike; zero turns quarantine off. sequence is higher than any of an earlier process
// of this instance.
func New(self string, hold time.Duration, sequence uint64) *Table {
	return &Table{
		self: self, hold: hold, started: sequence, sequence: sequence, entries: make(map[Digest]*entry), alerts: make(map[string]time.Time),
		answers: make(map[Digest]time.Time),
	}
}

// Enabled reports whether contents may be held back at all.
func (t *Table) Enabled() bool { return t != nil && t.hold > 0 }

// Known reports whether there is anything to look up.
func (t *Table) Known() bool { return t.Enabled() && t.known.Load() }

// Check returns how a request may be sent, and when one that is Held or Busy may return. The
// caller ends a Trial with EndTrial, unless a strike or an answer does.
func (t *Table) Check(now time.Time, d Digest, route string) (v Verdict, retryAfter time.Duration) {
	if !t.Known() {
		return Free, 0
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	e := t.entries[d]

	switch {
	case e == nil || len(e.strikes) == 0:
		if now.Before(t.alerts[route]) {
			return Careful, 0
		}

		return Free, 0
	case now.Before(e.trialUntil):
		return Busy, 0
	}

	if wait := t.trialAt(d, e).Sub(now); wait > 0 {
		if len(e.strikes) >= MaxStrikes {
			return Held, wait
		}

		return Busy, wait
	}

	e.trialUntil = now.Add(trialTime)

	return Trial, 0
}

// trialAt returns when this instance may try a suspect next. The instance that saw the last
// strike comes first, the others follow at times of their own: callers that were refused come
// back together, and each of several trials would end a searcher. The caller holds mu.
func (t *Table) trialAt(d Digest, e *entry) time.Time {
	at, own := e.last().Add(trialDelay), e.strikes[len(e.strikes)-1].instance == t.self

	// A content that many send was answered lately, and the searchers most likely ended under
	// another one.
	answered, ok := t.answers[d]
	little := len(e.strikes) == 1 || len(e.strikes) < MaxStrikes && ok && e.last().Sub(answered) < suspicion

	switch {
	case little && own:
		return e.last()
	case little:
		return e.last().Add(firstDelay)
	case len(e.strikes) >= MaxStrikes:
		at = e.last().Add(t.hold)
	}

	if own {
		return at
	}

	h := fnv.New64a()
	_, _ = h.Write(d[:])
	_, _ = io.WriteString(h, t.self)

	return at.Add(trialDelay + time.Duration(h.Sum64()%uint64(trialSpread)))
}

// EndTrial ends a trial without a result.
func (t *Table) EndTrial(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if e := t.entries[d]; e != nil {
		e.trialUntil = time.Time{}
	}
}

// Strike records that a searcher has ended under a request, and returns how many strikes count
// against its content now.
func (t *Table) Strike(now time.Time, d Digest, route string) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.sequence++

	e := t.entry(d, route)
	e.trialUntil = time.Time{}
	t.add(e, strike{t.self, t.sequence, now})
	t.changed()

	return len(e.strikes)
}

// Answered records that a searcher has answered a request, and reports whether this clears its
// content of strikes.
func (t *Table) Answered(now time.Time, d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.remember(now, d)

	e := t.entries[d]
	if e == nil {
		return false
	}

	strikes := e.strikes
	e.strikes, e.clearedAt, e.trialUntil = nil, now, time.Time{}

	if len(strikes) == 0 {
		return false
	}

	for _, k := range strikes {
		e.clear(k)
	}

	t.changed()

	return true
}

// remember records that a content was answered; the caller holds mu.
func (t *Table) remember(now time.Time, d Digest) {
	if _, ok := t.answers[d]; !ok {
		if len(t.recent) < maxAnswers {
			t.recent = append(t.recent, d)
		} else {
			delete(t.answers, t.recent[t.oldest])
			t.recent[t.oldest] = d
			t.oldest = (t.oldest + 1) % maxAnswers
		}
	}

	t.answers[d] = now
}

// Learn takes what another instance knows, which must be valid, and returns the contents of
// which this one has learned something.
func (t *Table) Learn(now time.Time, suspects []Suspect) []Suspect {
	if !t.Enabled() {
		return nil
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	var out []Suspect

	for i := range suspects {
		s := &suspects[i]

		if oldest := t.memory(len(s.Strikes)); !slices.ContainsFunc(s.Strikes, func(k Strike) bool { return k.Age < oldest }) {
			continue
		}

		e, learned := t.entry(s.Content, s.Route), false

		for _, k := range s.Strikes {
			if k.Instance == t.self && k.Sequence > t.started {
				continue
			}

			learned = t.add(e, strike{k.Instance, k.Sequence, now.Add(-k.Age)}) || learned
		}

		if learned {
			out = append(out, describe(now, s.Content, e.route, e.strikes))
		}
	}

	t.changed()

	return out
}

// LearnCleared takes which strikes another instance knows to be cleared, which must be valid, and
// returns the contents of which fewer strikes count now.
func (t *Table) LearnCleared(now time.Time, cleared []Suspect) []Digest {
	if !t.Enabled() {
		return nil
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	var out []Digest

	for i := range cleared {
		s := &cleared[i]

		if !slices.ContainsFunc(s.Strikes, func(k Strike) bool { return k.Age < t.memory(MaxStrikes) }) {
			continue
		}

		// A suspect isn't dropped for a content that holds nothing back here.
		if t.entries[s.Content] == nil && len(t.entries) >= MaxSuspects {
			continue
		}

		e := t.entry(s.Content, s.Route)
		before := len(e.strikes)

		for _, k := range s.Strikes {
			if k.Instance == t.self && k.Sequence > t.sequence {
				continue // This instance hasn't seen it yet.
			}

			e.clear(strike{k.Instance, k.Sequence, now.Add(-k.Age)})
		}

		if len(e.strikes) < before {
			out = append(out, s.Content)
		}
	}

	t.changed()

	return out
}

// All returns the suspects to tell others, those struck last first.
func (t *Table) All(now time.Time) []Suspect {
	if !t.Known() {
		return nil
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	out := make([]Suspect, 0, len(t.entries))

	for d, e := range t.entries {
		if len(e.strikes) > 0 {
			out = append(out, describe(now, d, e.route, e.strikes))
		}
	}

	slices.SortFunc(out, compareLast)

	return out
}

// Cleared returns the cleared strikes to tell others, those struck last first.
func (t *Table) Cleared(now time.Time) []Suspect {
	if !t.Enabled() {
		return nil
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	var out []Suspect

	for d, e := range t.entries {
		if len(e.cleared) > 0 {
			out = append(out, describe(now, d, e.route, e.cleared))
		}
	}

	slices.SortFunc(out, compareLast)

	return out
}

// compareLast orders suspects by their last strikes, the latest first.
func compareLast(a, b Suspect) int {
	return cmp.Or(cmp.Compare(a.Strikes[len(a.Strikes)-1].Age, b.Strikes[len(b.Strikes)-1].Age), slices.Compare(a.Content[:], b.Content[:]))
}

// Held returns how many contents are held back.
func (t *Table) Held(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	n := 0

	for _, e := range t.entries {
		if len(e.strikes) >= MaxStrikes {
			n++
		}
	}

	return n
}

func describe(now time.Time, d Digest, route string, strikes []strike) Suspect {
	s := Suspect{Content: d, Route: route, Strikes: make([]Strike, len(strikes))}
	for i, k := range strikes {
		s.Strikes[i] = Strike{k.instance, k.sequence, max(now.Sub(k.at), 0)}
	}

	return s
}

// entry returns the entry of a content, which it makes; the caller holds mu.
func (t *Table) entry(d Digest, route string) *entry {
	e := t.entries[d]
	if e != nil {
		return e
	}

	if len(t.entries) >= MaxSuspects {
		// Those without strikes go first: they hold nothing back.
		oldest := slices.MinFunc(slices.Collect(maps.Keys(t.entries)), func(a, b Digest) int {
			ea, eb := t.entries[a], t.entries[b]

			return cmp.Or(cmp.Compare(min(len(ea.strikes), 1), min(len(eb.strikes), 1)), ea.last().Compare(eb.last()))
		})
		delete(t.entries, oldest)
	}

	e = &entry{route: route, clearedAt: t.answers[d]}
	t.entries[d] = e

	return e
}

// add adds a strike and reports whether it counts and is new. The caller holds mu.
func (t *Table) add(e *entry, k strike) bool {
	if !k.at.After(e.clearedAt) && !e.clearedAt.IsZero() {
		e.clear(k)

		return false
	}

	if e.isCleared(k) || slices.ContainsFunc(e.strikes, func(o strike) bool { return o.instance == k.instance && o.sequence == k.sequence }) {
		return false
	}

	e.strikes = append(e.strikes, k)
	slices.SortStableFunc(e.strikes, func(a, b strike) int { return a.at.Compare(b.at) })
	e.strikes = e.strikes[max(len(e.strikes)-maxKept, 0):]

	if until := k.at.Add(alertTime); len(e.strikes) > 1 && until.After(t.alerts[e.route]) && t.others(e) {
		t.alerts[e.route] = until
	}

	return true
}

// others reports whether another content of the same route has two strikes; the caller holds mu.
func (t *Table) others(e *entry) bool {
	for _, o := range t.entries {
		if o != e && o.route == e.route && len(o.strikes) > 1 {
			return true
		}
	}

	return false
}

// memory returns how long a content with that many strikes is kept after the last one.
func (t *Table) memory(strikes int) time.Duration {
	if strikes >= MaxStrikes {
		return t.hold + suspicion
	}

	return suspicion
}

// expire drops what has become too old; the caller holds mu. Cleared strikes are kept as long as
// other instances may hold them against a content.
func (t *Table) expire(now time.Time) {
	if now.Before(t.expireAt) {
		return
	}

	t.expireAt = now.Add(suspicion)

	expired := func(until time.Time) bool {
		if !now.Before(until) {
			return true
		}

		if until.Before(t.expireAt) {
			t.expireAt = until
		}

		return false
	}

	maps.DeleteFunc(t.entries, func(_ Digest, e *entry) bool {
		if n := len(e.strikes); n > 0 {
			if !expired(e.last().Add(t.memory(n))) {
				return false
			}

			e.strikes = nil
		}

		kept := suspicion
		if len(e.cleared) > 0 {
			kept = t.memory(MaxStrikes)
		}

		return expired(e.last().Add(kept))
	})
	maps.DeleteFunc(t.alerts, func(_ string, until time.Time) bool { return expired(until) })
	t.updateKnown()
}

// changed follows a change of the entries; the caller holds mu.
func (t *Table) changed() {
	t.expireAt = time.Time{}
	t.updateKnown()
}

// updateKnown sets known; the caller holds mu.
func (t *Table) updateKnown() {
	known := len(t.alerts) > 0
	for _, e := range t.entries {
		known = known || len(e.strikes) > 0
	}

	t.known.Store(known)
}
