package peer

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/yamux"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/placement"
	"primrosespring.example/internal/quota"
	"primrosespring.example/primrosed/internal/allocator"
	"primrosespring.example/primrosed/internal/frame"
)

const (
	// permitInterval is the time between two questions to the allocator while a searcher has a
	// limit and this instance sends it nothing.
	permitInterval = 500 * time.Millisecond
	// permitTimeout bounds one question.
	permitTimeout = 300 * time.Millisecond
	// livePeriod is how long an instance that is live no more still counts for the shares: the
	// sides of a partition take one another for dead.
	livePeriod = 5 * time.Minute
)

// liveCount is the number of live instances at a time.
type liveCount struct {
	at   time.Time
	live int
}

// permitLoop asks for permits while a searcher has a limit, until ctx ends.
func (m *Mesh) permitLoop(ctx context.Context) {
	t := time.NewTimer(permitInterval)
	defer t.Stop()

	var counts []liveCount

	for {
		select {
		case <-ctx.Done():
			return
		case <-m.options.Quota.Wake():
		case <-t.C:
		}

		counts = m.updateShares(time.Now(), counts)

		if m.options.Quota.Active() {
			m.askForPermits(ctx)
		}

		interval := permitInterval
		if m.options.Quota.Busy() {
			interval = quota.AskInterval
		}

		t.Reset(interval)
	}
}

// updateShares divides limits among as many instances as were live in the last livePeriod, or
// those that hold the connections of one service.
func (m *Mesh) updateShares(now time.Time, counts []liveCount) []liveCount {
	live := m.options.Table.View().Live.Len()
	if n := len(counts); n == 0 || counts[n-1].live != live {
		counts = append(counts, liveCount{now, live})
	}

	for len(counts) > 1 && now.Sub(counts[1].at) > livePeriod {
		counts = counts[1:]
	}

	most := 1
	for _, c := range counts {
		most = max(most, c.live)
	}

	share := 1 / float64(min(most, placement.MaxHolders))
	m.options.Quota.SetShares(now, quota.Shares{Gathered: share, Direct: share}, false)

	return counts
}

// askForPermits asks the first allocator that answers, or uses this instance's own share.
func (m *Mesh) askForPermits(ctx context.Context) {
	self, view := m.options.Table.Self().Instance.ID, m.options.Table.View()

	for _, to := range view.Live.Readers(self) {
		if to.ID == self {
			break
		}

		if view.Suspects[to.ID] {
			continue
		}

		err := m.askAllocator(ctx, to)
		if err == nil {
			return
		}

		m.options.Log.Debug().Str("event", "permits_not_answered").Str("peer", to.ID).Err(err).Send()
	}

	now := time.Now()
	answer, _ := m.options.Quota.Grant(now, m.options.Quota.Ask(now, self)) // It knows nothing else.
	m.options.Quota.Apply(now, now, self, answer)
}

func (m *Mesh) askAllocator(ctx context.Context, to domain.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()

	asked := time.Now()
	question := m.options.Quota.Ask(asked, to.ID)

	f, err := m.request(ctx, to, &pb.PeerFrame{Body: &pb.PeerFrame_PositionRequest{
		PositionRequest: &pb.PositionRequest{Permits: allocator.EncodeQuestion(&question)},
	}})
	if err != nil {
		return err
	}

	if f.GetPositionAnswer().GetPermits() == nil {
		return errors.New("no answer to a question for permits")
	}

	answer, err := allocator.DecodeAnswer(f.GetPositionAnswer().GetPermits())
	if err != nil {
		return err
	}

	m.limitsLearned(to.ID, m.options.Quota.Apply(time.Now(), asked, to.ID, answer))

	return nil
}

func (m *Mesh) limitsLearned(from string, changes []quota.Learned) {
	if len(changes) > 0 && m.options.OnLimits != nil {
		m.options.OnLimits(from, changes)
	}
}

// answerPermits answers a question for permits.
func (m *Mesh) answerPermits(stream *yamux.Stream, f *pb.PeerFrame) error {
	a := &pb.PositionAnswer{}

	if q := f.GetPositionRequest().GetPermits(); q != nil && m.options.Quota != nil {
		question, err := allocator.DecodeQuestion(q)
		if err != nil {
			return err
		}

		answer, changes := m.options.Quota.Grant(time.Now(), question)
		m.limitsLearned(question.Instance, changes)
		a.Permits = allocator.EncodeAnswer(&answer)
	}

	return frame.Write(stream, &pb.PeerFrame{Id: f.GetId(), Body: &pb.PeerFrame_PositionAnswer{PositionAnswer: a}}, frame.MaxControlBytes)
}
