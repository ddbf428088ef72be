package follower

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

// fakeRecords is a record in the store.
type fakeRecords struct {
	mu       sync.Mutex // Guards what follows.
	era      uint64
	settled  uint64
	recorded bool
	newFleet bool
	away     bool
	reads    int
	writes   int
}

func (r *fakeRecords) SettledEra(context.Context) (settled, era uint64, recorded bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.reads++

	if r.away {
		return 0, 0, false, domain.Errorf(domain.FateUnknown, domain.CodeStoreUnavailable, "read", "away")
	}

	return r.settled, r.era, r.recorded, nil
}

func (r *fakeRecords) RecordSettledEra(_ context.Context, era, _ uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.settled, r.recorded = era, true
	r.writes++

	return nil
}

func (r *fakeRecords) NewFleet(context.Context) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.newFleet, nil
}

// restore has the store state a later era. The record is the copy's.
func (r *fakeRecords) restore() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.era++
}

// versionSource is a store with one version of a collection, in the era of its record.
type versionSource struct {
	*fakeRecords

	version int
	number  uint64
	changed chan struct{}
}

func newVersionSource(r *fakeRecords) *versionSource {
	return &versionSource{fakeRecords: r, version: 7, number: 10, changed: make(chan struct{})}
}

// put writes a version.
func (s *versionSource) put(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.version = version
	s.number++
	close(s.changed)
	s.changed = make(chan struct{})
}

// lose brings the store back from a copy with a version.
func (s *versionSource) lose(version int) {
	s.restore()
	s.mu.Lock()
	defer s.mu.Unlock()

	s.version, s.number = version, 5
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *versionSource) state() (int, Revision, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.version, Revision{s.era, s.number}, s.changed, s.away
}

func unavailable() error {
	return domain.Errorf(domain.FateUnknown, domain.CodeStoreUnavailable, "call", "away")
}

func (s *versionSource) List(context.Context, bool) ([]int, Revision, error) {
	version, at, _, away := s.state()
	if away {
		return nil, Revision{}, unavailable()
	}

	return []int{version}, at, nil
}

func (s *versionSource) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change[int], Revision, error) {
	end := time.After(wait)

	for {
		version, at, changed, away := s.state()

		switch {
		case away:
			return nil, Revision{}, unavailable()
		case at.Era != after.Era:
			return nil, Revision{}, domain.Errorf(domain.FateUnknown, domain.CodeHistoryGone, "watch", "gone")
		case at.After(after):
			return []Change[int]{{Name: "main", Revision: at, Item: version}}, at, nil
		}

		select {
		case <-changed:
		case <-end:
			return nil, at, nil
		case <-ctx.Done():
			return nil, Revision{}, ctx.Err()
		}
	}
}

// versionSink has the highest version in force.
type versionSink struct {
	mu      sync.Mutex // Guards version.
	version int
}

func (s *versionSink) Replace(items []int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.version = max(s.version, items[0])
}

func (s *versionSink) Apply(changes []Change[int]) { s.Replace([]int{changes[len(changes)-1].Item}) }
func (s *versionSink) StoreRecovered()             {}
func (s *versionSink) StoreRestored()              {}

func (s *versionSink) inForce() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.version
}

// startVersions starts a process that follows the versions.
func startVersions(t *testing.T, source *versionSource) (*Follower[int], *versionSink) {
	t.Helper()

	sink := &versionSink{}
	f := &Follower[int]{
		Log: zerolog.Nop(), Name: "versions", Source: source, Sink: sink, Bound: testProof, Proof: testProof, Pause: 400 * time.Millisecond,
		FollowOthers: true,
		ItemName:     func(int) string { return "main" }, SameItem: func(a, b int) bool { return a == b },
		InForce:    func(version int) bool { return version >= sink.inForce() },
		Settlement: &Settlement{Log: zerolog.Nop(), Records: source.fakeRecords},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})

	go func() {
		f.Run(ctx)
		close(done)
	}()

	t.Cleanup(func() {
		cancel()
		<-done
	})

	return f, sink
}

// Guards against a process that starts after the store's return from an older copy and takes what the copy
// has for the newest state: before the operator has written again, while it writes several versions again,
// around two returns, and if the store is away for most of the time in which it would be written again.
func TestCopiesOfTheStoreProveNothing(t *testing.T) {
	t.Run("until the last version is written again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newVersionSource(&fakeRecords{era: 4, settled: 3, recorded: true})
			f, sink := startVersions(t, s)

			time.Sleep(3 * time.Second)
			require.False(t, f.Proven())
			require.Equal(t, 7, sink.inForce())

			for version := 8; version <= 9; version++ {
				s.put(version)
				time.Sleep(settleQuiet - 100*time.Millisecond)
				require.False(t, f.Proven(), "a further version may follow")
			}

			time.Sleep(2 * time.Second)
			require.True(t, f.Proven())
			require.Equal(t, uint64(4), s.settled, "others that start now know it")
			require.Equal(t, 1, s.writes)
		})
	})

	t.Run("until it would have been written again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, _ := startVersions(t, newVersionSource(&fakeRecords{era: 4, settled: 3, recorded: true}))

			time.Sleep(SettleTime - time.Second)
			require.False(t, f.Proven())
			time.Sleep(3 * time.Second)
			require.True(t, f.Proven())
		})
	})

	t.Run("around two returns", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newVersionSource(&fakeRecords{era: 4, settled: 3, recorded: true})
			f, _ := startVersions(t, s)

			s.put(9)
			time.Sleep(settleQuiet / 2)
			s.lose(7)

			for range 80 {
				time.Sleep(100 * time.Millisecond)
				require.False(t, f.Proven())
			}
		})
	})

	t.Run("while nobody can write", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newVersionSource(&fakeRecords{era: 4, settled: 3, recorded: true})
			f, _ := startVersions(t, s)

			time.Sleep(time.Second)
			s.mu.Lock()
			s.away = true
			s.mu.Unlock()
			time.Sleep(SettleTime)
			s.mu.Lock()
			s.away = false
			s.mu.Unlock()
			time.Sleep(2 * time.Second)
			require.False(t, f.Proven())
			time.Sleep(SettleTime)
			require.True(t, f.Proven())
		})
	})
}

// Guards against an instance that has run for long and counts its state as proven by the store's copy: a
// change of just before the return may have reached nobody. What was proven before stays so for its time.
func TestProofsOutlastAReturnForTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newVersionSource(&fakeRecords{era: 4, settled: 4, recorded: true})
		f, sink := startVersions(t, s)

		time.Sleep(5 * time.Second)
		s.put(9)
		time.Sleep(2 * time.Second)
		s.lose(7)

		lost := time.Now()

		for time.Since(lost) < testProof-1200*time.Millisecond {
			require.True(t, f.Proven(), "%s after the return", time.Since(lost))
			time.Sleep(100 * time.Millisecond)
		}

		time.Sleep(1500 * time.Millisecond)
		require.False(t, f.Proven())
		require.Equal(t, 9, sink.inForce())
		require.Equal(t, uint64(4), s.settled, "the store lacks the version in force")

		s.put(9)
		time.Sleep(settleQuiet + 2*time.Second)
		require.True(t, f.Proven())
		require.Equal(t, uint64(5), s.settled)
	})
}

// Guards against a process that refuses every key at its start though nothing was lost, and against calls
// for the record while an era is settled.
func TestSettledErasAreKnownAtTheStart(t *testing.T) {
	for name, c := range map[string]struct {
		records *fakeRecords
		within  time.Duration
	}{
		"by the record":             {&fakeRecords{era: 4, settled: 4, recorded: true}, 10 * time.Millisecond},
		"in a new fleet":            {&fakeRecords{era: 4, newFleet: true}, newFleetDelay + 2*time.Second},
		"a store that states none":  {&fakeRecords{}, 10 * time.Millisecond},
		"without a record, in time": {&fakeRecords{era: 4}, SettleTime + 2*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newVersionSource(c.records)
				f, _ := startVersions(t, s)

				time.Sleep(c.within)
				require.True(t, f.Proven())

				time.Sleep(3 * time.Second)
				s.mu.Lock()
				before := s.reads
				s.mu.Unlock()
				time.Sleep(time.Minute)
				require.True(t, f.Proven())
				require.Equal(t, before, s.reads)
			})
		})
	}
}

// Guards against the word of another instance that counts for a state of before it, or of another era.
func TestOthersSayThatAnEraIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Settlement{Log: zerolog.Nop()}

		require.False(t, s.Covers(4, time.Now()))
		time.Sleep(time.Second)
		s.Learn(3, time.Now())
		require.False(t, s.Covers(4, time.Now()), "an earlier era")

		s.Learn(4, time.Now())
		require.False(t, s.Covers(4, time.Now().Add(-time.Millisecond)), "a state of before")
		require.True(t, s.Covers(4, time.Now()))

		time.Sleep(time.Second)

		era, since, ok := s.Settled()
		require.True(t, ok)
		require.Equal(t, uint64(4), era)
		require.Equal(t, time.Second, since)

		require.False(t, s.Covers(5, time.Now()), "the store has returned once more")
		require.False(t, s.Covers(4, time.Now()))
	})
}
