package follower

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// SettleTime is how long after the store's return from an older copy what its users had written may
// still be missing in it: they write it again by then.
const SettleTime = 10 * time.Second

const (
	// settleQuiet is how long after a write of the collection no further one has to follow, since several
	// versions may be written again one after the other.
	settleQuiet = time.Second
	// maxSettleStep bounds the part of SettleTime that passes between two answers of the store. Its users
	// can't write either while it doesn't answer.
	maxSettleStep = 3 * time.Second
	// newFleetDelay is how long a process waits, at least, until it takes the fleet for a new one: others write
	// their entries again within that time of a return. newFleetSpread has one of them find it out first.
	newFleetDelay  = 1500 * time.Millisecond
	newFleetSpread = 500 * time.Millisecond
	// consultInterval is the least time between two questions to Records.
	consultInterval = time.Second
	consultTimeout  = 400 * time.Millisecond
)

// Records keeps the newest era that is known to be settled in the store itself. A return from an older
// copy makes the record one of an earlier era.
type Records interface {
	// SettledEra returns the recorded era and the era that the store states with it. recorded is false
	// if there is no record.
	SettledEra(ctx context.Context) (settled, era uint64, recorded bool, err error)
	// RecordSettledEra replaces the record of an earlier era, or of none, which is 0.
	RecordSettledEra(ctx context.Context, era, earlier uint64) error
	// NewFleet reports whether no instance has run before those that have started now.
	NewFleet(ctx context.Context) (bool, error)
}

// Settlement knows whether the store's state holds all that the store had acknowledged. After a return
// from an older copy, that is so once the era is settled: what was lost has been written again, or has
// had SettleTime to be. A process that starts can't tell a return of just now from one of long ago; it
// learns that an era is settled from the store's record or from other instances. A store that states no
// eras is always settled. A nil Settlement covers everything. It is safe for concurrent use.
type Settlement struct {
	Log zerolog.Logger
	// Records is the store's record; nil if there is none.
	Records Records

	mu sync.Mutex // Guards the fields below.
	// era is the newest era that the store has answered in, noticedAt when it was shown first.
	era       uint64
	noticedAt time.Time
	// answered is for how long the store has answered in the era, answeredAt the last answer.
	answered   time.Duration
	answeredAt time.Time
	// writtenAt is when the collection was last written in the era; zero if it wasn't.
	writtenAt time.Time
	// stateless says that the store states no eras.
	stateless bool
	// settled says that the era is settled since settledAt.
	settled   bool
	settledAt time.Time
	// recorded is the newest era that the store's record is known to hold, consultedAt when it was
	// read or written last.
	recorded    uint64
	consultedAt time.Time
	// newFleetAt is when the fleet is taken for a new one, if none of its instances has run before: the
	// store has no record. It is zero otherwise.
	newFleetAt time.Time
}

// settleReason says what showed an era to be settled.
type settleReason string

const (
	settledByTime     settleReason = "time"
	settledByWrite    settleReason = "write"
	settledByRecord   settleReason = "record"
	settledByOthers   settleReason = "others"
	settledByNewFleet settleReason = "new_fleet"
)

// Covers reports whether a state of an era, which the store had at a time, holds all that was
// acknowledged before.
func (s *Settlement) Covers(era uint64, at time.Time) bool {
	if s == nil {
		return true
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if !s.enter(era, at) {
		return false
	}

	if s.stateless {
		return true
	}

	if at.After(s.answeredAt) {
		s.answered += min(at.Sub(s.answeredAt), maxSettleStep)
		s.answeredAt = at
	}

	switch {
	case s.settled:
	case !s.writtenAt.IsZero() && at.Sub(s.writtenAt) >= settleQuiet:
		s.settle(at, settledByWrite)
	case s.answered >= SettleTime:
		s.settle(at, settledByTime)
	}

	return s.settled && !at.Before(s.settledAt)
}

// enter begins an era if it is a later one, and reports whether it is the current one; the caller
// holds mu.
func (s *Settlement) enter(era uint64, at time.Time) bool {
	if era > s.era {
		s.era, s.noticedAt, s.answered, s.answeredAt = era, at, 0, at
		s.writtenAt, s.settled, s.settledAt, s.newFleetAt = time.Time{}, false, time.Time{}, time.Time{}
	}

	s.stateless = s.era == 0

	return era == s.era
}

// settle records that the era is settled; the caller holds mu.
func (s *Settlement) settle(at time.Time, reason settleReason) {
	s.settled, s.settledAt = true, at
	s.Log.Info().Str("event", "era_settled").Uint64("era", s.era).Str("reason", string(reason)).Send()
}

// Learn takes the word of another instance that an era has been settled since then.
func (s *Settlement) Learn(era uint64, since time.Time) { s.learn(era, since, settledByOthers) }

func (s *Settlement) learn(era uint64, since time.Time, reason settleReason) {
	if s == nil || era == 0 {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.enter(era, since) && !s.settled {
		s.settle(since, reason)
	}
}

// Settled returns the current era and for how long it has been settled, if it is. A store that states no
// eras is settled, in era 0.
func (s *Settlement) Settled() (era uint64, since time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.era, time.Since(s.settledAt), s.settled || s.stateless
}

// written takes a write of the collection in an era, which ends what was lost if no further one follows.
func (s *Settlement) written(era uint64, at time.Time) {
	if s == nil || era == 0 {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.enter(era, at) {
		s.writtenAt = at
	}
}

// consult asks the store's record whether the era is settled, if that isn't known. The record counts for
// states that the store is asked for afterwards.
func (s *Settlement) consult(ctx context.Context) {
	if s == nil || s.Records == nil || !s.begin(func() bool { return !s.settled && !s.stateless }) {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, consultTimeout)
	defer cancel()

	settled, era, recorded, err := s.Records.SettledEra(ctx)
	at := time.Now()

	if err != nil {
		return
	}

	s.Covers(era, at)

	switch {
	case recorded:
		s.recordRead(settled)

		if settled == era {
			s.learn(era, at, settledByRecord)
		}
	case s.newFleetDue(era, at):
		if fresh, err := s.Records.NewFleet(ctx); err == nil && fresh {
			s.learn(era, at, settledByNewFleet)
		}
	}
}

// newFleetDue reports whether it is time to take the fleet for a new one, since the store has no record.
func (s *Settlement) newFleetDue(era uint64, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if era != s.era {
		return false
	}

	if s.newFleetAt.IsZero() {
		s.newFleetAt = s.noticedAt.Add(newFleetDelay + rand.N(newFleetSpread))
	}

	return !at.Before(s.newFleetAt)
}

// consultIn returns how long it takes until this instance has to consult the record, whether or not it reads
// the store for others: it may be the first of a new fleet to find that out. It reports false if it needn't.
func (s *Settlement) consultIn() (time.Duration, bool) {
	if s == nil {
		return 0, false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.settled || s.newFleetAt.IsZero() || s.consultedAt.After(s.newFleetAt) {
		return 0, false
	}

	return max(time.Until(s.newFleetAt), consultInterval-time.Since(s.consultedAt)), true
}

// begin reports whether the record is to be read or written now, if due says so. It calls due with mu held.
func (s *Settlement) begin(due func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if !due() || !s.consultedAt.IsZero() && time.Since(s.consultedAt) < consultInterval {
		return false
	}

	s.consultedAt = time.Now()

	return true
}

func (s *Settlement) recordRead(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.recorded = max(s.recorded, era)
}

// record writes that the era is settled into the store, unless the record says so already. Only an
// instance whose state is the store's does: the store lacks what the others have in force.
func (s *Settlement) record(ctx context.Context) {
	if s == nil || s.Records == nil {
		return
	}

	var era uint64

	if !s.begin(func() bool {
		era = s.era

		return s.settled && s.recorded < s.era
	}) {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, consultTimeout)
	defer cancel()

	// Another instance may have written it.
	settled, _, _, err := s.Records.SettledEra(ctx)
	if err != nil || settled >= era {
		s.recordRead(settled)

		return
	}

	if err := s.Records.RecordSettledEra(ctx, era, settled); err != nil {
		s.Log.Info().Str("event", "era_not_recorded").Uint64("era", era).Err(err).Send()

		return
	}

	s.recordRead(era)
}
