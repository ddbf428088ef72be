package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespring.example/internal/domain"
)

var errLost = errors.New("answer lost")

// object is one version of the stored object.
type object struct {
	version uint64
	data    []byte
}

func (o object) stored(t *rapid.T) *Stored {
	if o.version == 0 {
		return &Stored{}
	}

	s, err := Decode(o.data)
	require.NoError(t, err)

	return s
}

// pending is a change that one instance is making.
type pending struct {
	write    *Write
	id       string
	instance int
	read     *object
	next     ReadResult
}

// schedule is a store and instances whose steps are drawn at random.
type schedule struct {
	history  []object // Every state of the store, the current one last.
	late     []object // Writes in transit; version is the one they replace.
	updates  []Update // Pushes in transit, in no order.
	keepers  []*Keeper
	pending  []*pending
	accepted map[string]uint64 // The version by change id.
	refused  map[string]bool   // The ids of changes refused as not run.
	changes  int
	highest  []uint64          // The highest version seen at each instance.
	contents map[uint64]uint64 // The checksum of the stored form by version.
}

func newSchedule() *schedule {
	s := &schedule{
		history: []object{{}}, accepted: make(map[string]uint64), refused: make(map[string]bool),
		contents: make(map[uint64]uint64), highest: make([]uint64, 4),
	}
	for range s.highest {
		s.keepers = append(s.keepers, &Keeper{})
	}

	return s
}

func (s *schedule) put(o object) bool {
	if o.version != s.history[len(s.history)-1].version {
		return false
	}

	s.history = append(s.history, object{o.version + 1, o.data})

	return true
}

func (s *schedule) instance(t *rapid.T) int {
	return rapid.IntRange(0, len(s.keepers)-1).Draw(t, "instance")
}

func (s *schedule) begin(t *rapid.T) {
	s.changes++
	i, id := s.instance(t), fmt.Sprintf("change-%d", s.changes)
	c := Change{ID: id, SetMember: &domain.Member{Name: fmt.Sprintf("m%d", s.changes%5), Weight: uint32(s.changes)}}

	if rapid.Bool().Draw(t, "delete") {
		c = Change{ID: id, DeleteMember: &MemberRef{Name: c.SetMember.Name}}
	}

	s.pending = append(s.pending, &pending{write: NewWrite(c), id: id, instance: i})
}

// step advances one change by a read or a write; the answer may be lost.
func (s *schedule) step(t *rapid.T) {
	if len(s.pending) == 0 {
		return
	}

	n := rapid.IntRange(0, len(s.pending)-1).Draw(t, "change")
	p := s.pending[n]
	outcome := rapid.SampledFrom([]string{"ok", "ok", "ok", "down", "lost", "late", "give up"}).Draw(t, "outcome")

	if outcome == "give up" {
		s.fail(n, p.write.Fate(errLost))

		return
	}

	if p.read == nil {
		s.read(t, n, p, outcome)

		return
	}

	data, err := p.next.Stored.Encode()
	require.NoError(t, err)

	o := object{p.read.version, data}
	p.read = nil

	switch outcome {
	case "ok":
		if s.put(o) {
			s.accept(n, p, p.next)
		} else {
			p.write.WriteFailed(o.version, refuse(domain.CodeConflict, "conflict"))
		}
	case "down":
		p.write.WriteFailed(o.version, errLost)
	case "lost":
		s.put(o)
		p.write.WriteFailed(o.version, errLost)
	case "late":
		s.late = append(s.late, o)
		p.write.WriteFailed(o.version, errLost)
	}
}

func (s *schedule) read(t *rapid.T, n int, p *pending, outcome string) {
	if outcome != "ok" {
		return
	}

	o := s.history[len(s.history)-1]
	next, err := p.write.Read(o.version, o.stored(t), s.keepers[p.instance].Configuration().Version)

	switch {
	case err != nil:
		s.fail(n, err)
	case next.Done:
		s.accept(n, p, next)
	default:
		p.read, p.next = &o, next
	}
}

func (s *schedule) accept(n int, p *pending, next ReadResult) {
	s.keepers[p.instance].SetIfNewer(next.Stored)
	s.accepted[p.id] = next.Version
	s.pending = append(s.pending[:n], s.pending[n+1:]...)
}

func (s *schedule) fail(n int, err error) {
	var e *domain.Error
	if errors.As(err, &e) && e.Fate == domain.FateNotRun {
		s.refused[s.pending[n].id] = true
	}

	s.pending = append(s.pending[:n], s.pending[n+1:]...)
}

func (s *schedule) applyLate(t *rapid.T) {
	if len(s.late) > 0 {
		n := rapid.IntRange(0, len(s.late)-1).Draw(t, "late write")
		s.put(s.late[n])
		s.late = append(s.late[:n], s.late[n+1:]...)
	}
}

// watch passes a state of the store, which may be an old one, to an instance.
func (s *schedule) watch(t *rapid.T) {
	o := s.history[rapid.IntRange(0, len(s.history)-1).Draw(t, "state")]
	s.keepers[s.instance(t)].SetIfNewer(o.stored(t))
}

func (s *schedule) push(t *rapid.T) {
	u, err := s.keepers[s.instance(t)].UpdateFrom(rapid.Uint64Range(0, uint64(s.changes)).Draw(t, "have"))
	require.NoError(t, err)

	s.updates = append(s.updates, u)
}

// receive delivers a push, possibly late or more than once.
func (s *schedule) receive(t *rapid.T) {
	if len(s.updates) == 0 {
		return
	}

	u := s.updates[rapid.IntRange(0, len(s.updates)-1).Draw(t, "update")]
	_, err := s.keepers[s.instance(t)].ApplyUpdate(u)

	var b *BehindError
	if err != nil && !errors.As(err, &b) {
		require.NoError(t, err)
	}
}

func (s *schedule) restart(t *rapid.T) {
	i := s.instance(t)
	s.keepers[i], s.highest[i] = &Keeper{}, 0
	s.pending = withoutInstance(s.pending, i)
}

func withoutInstance(all []*pending, instance int) []*pending {
	var out []*pending

	for _, p := range all {
		if p.instance != instance {
			out = append(out, p)
		}
	}

	return out
}

// check verifies the invariants after each step.
func (s *schedule) check(t *rapid.T) {
	for i, k := range s.keepers {
		v := k.Configuration().Version
		require.GreaterOrEqual(t, v, s.highest[i], "instance %d went back", i)
		s.highest[i] = v

		sum, err := k.Current().checksum()
		require.NoError(t, err)

		if known, ok := s.contents[v]; ok {
			require.Equal(t, known, sum, "version %d has two contents", v)
		}

		s.contents[v] = sum
	}

	now := s.history[len(s.history)-1].stored(t)
	for id, v := range s.accepted {
		got, ok := now.AppliedVersion(id)
		require.True(t, ok, "accepted change %s is lost", id)
		require.Equal(t, v, got)
	}

	for id := range s.refused {
		_, ok := now.AppliedVersion(id)
		require.False(t, ok, "change %s was refused as not run and took effect", id)
	}
}

// Guards against an instance that goes back to an older version, a version with two
// contents, an accepted change that is lost, and a change refused as not run that
// takes effect, over random schedules of racing operators, restarts, store outages,
// lost answers, late writes, stale watches and late pushes.
func TestSchedules(t *testing.T) {
	for range 20 {
		rapid.Check(t, func(t *rapid.T) {
			s := newSchedule()

			t.Repeat(map[string]func(*rapid.T){
				"begin": s.begin, "step": s.step, "step again": s.step, "apply late": s.applyLate, "watch": s.watch,
				"push": s.push, "receive": s.receive, "restart": s.restart, "": s.check,
			})
		})
	}
}

// Guards against a writer that builds on a store which was reverted to an older
// version, and so reuses versions that are already in force.
func TestWriteRefusesARevertedStore(t *testing.T) {
	cur := &Stored{Configuration: domain.Configuration{Version: 3}}
	_, err := NewWrite(Change{ID: "a", DeleteMember: &MemberRef{Name: "m"}}).Read(9, cur, 4)

	var e *domain.Error

	require.ErrorAs(t, err, &e)
	require.Equal(t, domain.CodeStoreReverted, e.Code)
	require.Equal(t, domain.FateNotRun, e.Fate)
}

// Guards against corrupt updates that are put in force.
func TestApplyUpdateRefusesCorruption(t *testing.T) {
	var from, to Keeper

	s := &Stored{}
	for i := range 3 {
		next, err := Apply(s, Change{ID: fmt.Sprintf("c%d", i), SetMember: &domain.Member{Name: "m", Weight: uint32(i + 1)}})
		require.NoError(t, err)

		s = next
		from.SetIfNewer(s)
	}

	good, err := from.UpdateFrom(0)
	require.NoError(t, err)
	require.Len(t, good.Changes, 3)

	for name, modify := range map[string]func(u *Update){
		"checksum": func(u *Update) { u.Checksum++ },
		"version":  func(u *Update) { u.Version++ },
		"change":   func(u *Update) { u.Changes = [][]byte{u.Changes[0], u.Changes[2], u.Changes[1]} },
		"no json":  func(u *Update) { u.Changes = [][]byte{[]byte("{")} },
		"whole":    func(u *Update) { u.Changes, u.Whole = nil, []byte("{}") },
	} {
		u := good
		modify(&u)

		_, err := to.ApplyUpdate(u)

		var e *domain.Error

		require.ErrorAs(t, err, &e, name)
		require.Equal(t, domain.CodeCorrupt, e.Code)
		require.Zero(t, to.Configuration().Version)
	}

	took, err := to.ApplyUpdate(good)
	require.NoError(t, err)
	require.True(t, took)
	require.Equal(t, s.Configuration, *to.Configuration())

	var b *BehindError

	behind := Update{From: 7, Version: 9, Changes: [][]byte{[]byte("{}")}}
	_, err = to.ApplyUpdate(behind)
	require.ErrorAs(t, err, &b)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"configuration":{"version":1,"services":[],"members":[{"name":"m","weight":1}]},"recent":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}

		require.NoError(t, s.Configuration.Validate())

		_, err = json.Marshal(s)
		require.NoError(t, err)
	})
}

// largeConfiguration returns a configuration of the size planned for in two years:
// 22 services of 59 shards with 2 searchers each.
func largeConfiguration() *Stored {
	s := &Stored{Configuration: domain.Configuration{Version: 1}}

	for i := range 22 {
		svc := domain.Service{Name: fmt.Sprintf("service-%02d", i), Version: 1, Rules: domain.Rules{
			TimeoutMS: 1000, MaxAttempts: 3, ExtraLoadPermille: 50, Hedging: true, MinCoveragePermille: 1000, Repeatable: true,
		}}
		svc.PartitionMap.Version = 1

		for n := range 59 {
			shard := domain.Shard{Number: uint32(n)}
			for r := range 2 {
				shard.Searchers = append(shard.Searchers, domain.Searcher{
					ID: fmt.Sprintf("searcher-%02d-%02d-%d", i, n, r), Address: fmt.Sprintf("10.%d.%d.%d:7000", i, n, r),
					FailureDomain: "gt-centro-a", Slots: 2, Connections: 25,
				})
			}

			svc.PartitionMap.Shards = append(svc.PartitionMap.Shards, shard)
		}

		s.Configuration = s.Configuration.WithService(svc)
	}

	return s
}

// BenchmarkApplyUpdate measures the cost of one pushed change to largeConfiguration,
// and the bytes of the push compared with the whole configuration.
func BenchmarkApplyUpdate(b *testing.B) {
	base := largeConfiguration()
	update := base.Configuration.Services[3]

	for name, c := range map[string]Change{
		"drain":          {ID: "0190c7a0-0000-7000-8000-000000000001", DrainSearcher: &Drain{Service: "service-03", Searcher: "searcher-03-10-1", Draining: true}},
		"update service": {ID: "0190c7a0-0000-7000-8000-000000000002", UpdateService: &update},
	} {
		b.Run(name, func(b *testing.B) {
			var from Keeper

			next, err := Apply(base, c)
			require.NoError(b, err)
			from.SetIfNewer(base)
			from.SetIfNewer(next)

			u, err := from.UpdateFrom(1)
			require.NoError(b, err)

			whole, err := next.Encode()
			require.NoError(b, err)

			for b.Loop() {
				var to Keeper

				to.SetIfNewer(base)
				_, err := to.ApplyUpdate(u)
				require.NoError(b, err)
			}

			b.ReportMetric(float64(u.Size()), "push-bytes")
			b.ReportMetric(float64(len(whole)), "whole-bytes")
		})
	}
}

// Guards against a change that was made against a service since deleted and created
// again, and that is applied to the new one.
func TestRecreatedServiceRefusesOldChanges(t *testing.T) {
	svc := largeConfiguration().Configuration.Services[0]
	s := &Stored{}

	step := func(id string, c Change) error {
		c.ID = id

		next, err := Apply(s, c)
		if err == nil {
			s = next
		}

		return err
	}

	require.NoError(t, step("a", Change{CreateService: &svc}))
	require.NoError(t, step("b", Change{DeleteService: &ServiceRef{Name: svc.Name, Version: 1}}))
	require.NoError(t, step("c", Change{CreateService: &svc}))

	var e *domain.Error

	old := svc.WithVersion(1)
	require.ErrorAs(t, step("d", Change{UpdateService: &old}), &e)
	require.Equal(t, domain.CodeConflict, e.Code)

	now := svc.WithVersion(s.Configuration.Services[0].Version)
	require.NoError(t, step("e", Change{UpdateService: &now}))
}
