package routing

import (
	"time"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/limits"
	"primrosespring.example/internal/outcome"
)

// state is the routing state of one searcher. The table's lock guards it.
type state struct {
	outstanding int
	limit       limits.Limit
	slots       uint32

	// service and network are the two parts of the typical latency without a
	// queue: the searcher's work, and the network and protocol.
	service time.Duration
	network windowedMin
	answers int
	// classes holds the service time of each class of requests.
	classes map[string]*classTime
	// maxReportAge is the age at which a reported load has lost all its weight.
	maxReportAge time.Duration
	// gap is the mean time between answers; answeredAt is the time of the last.
	gap        time.Duration
	answeredAt time.Time
	// slowService is a lower bound of the expected service time until slowUntil.
	slowService time.Duration
	slowUntil   time.Time
	// busy is the moving average of the reported number of requests.
	busy float64

	// reported is the number of requests at the searcher by its last report, and
	// sentSince how many were sent after that and are still outstanding.
	reported   uint32
	reportedAt time.Time
	sentSince  int
	// pace is how many times as long as usual work took by the last report; 0 if it didn't say.
	pace float64

	// overdue counts the requests cancelled as overdue since the last response of
	// any kind, at respondedAt.
	overdue     int
	respondedAt time.Time

	// Until shedUntil, other searchers are preferred because this one shed load.
	shedUntil   time.Time
	shedBackoff time.Duration

	// failureRate is the recent share of attempts that failed or were refused.
	failureRate outcome.FailureRate

	// failures counts consecutive failures; the searcher is ejected while it isn't
	// zero: it gets probes, and below maxFailures requests as a last resort.
	failures  int
	backoff   time.Duration
	probeAt   time.Time
	probing   bool
	probeSent time.Time

	// draining is what the searcher last reported in an answer or refusal, and
	// drainingAt is when it last reported it to be true.
	draining   bool
	drainingAt time.Time
	cold       bool

	// The searcher's incarnation pausedIncarnation wants no requests until pausedUntil.
	pausedUntil       time.Time
	pausedIncarnation int64

	// The health signals: statusDraining and unhealthy are from the status
	// endpoint, leaving from the platform's list. ignoreHealth disables them.
	statusDraining bool
	unhealthy      bool
	leaving        bool
	ignoreHealth   bool
}

const (
	initialService = 5 * time.Millisecond
	// remoteNetworkTime is the network time assumed for a searcher in another
	// failure domain until its first answer, and always for a request whose class
	// has an observed service time.
	remoteNetworkTime = 6 * time.Millisecond
	// The constants named ...Samples are about how many samples a moving average
	// covers.
	serviceSamples = 16
	gapSamples     = 8
	// The lower bound that a cancelled request sets on the service time expires
	// after slowGaps times the mean gap between answers, at least minSlowTime and
	// at most maxSlowTime. The bound itself is at most maxSlowService, since a
	// searcher that has stopped says nothing about its speed.
	slowGaps       = 3
	minSlowTime    = 100 * time.Millisecond
	maxSlowTime    = 8 * time.Second
	maxSlowService = time.Second
	// classSamples is for one searcher and small enough to adapt to a slowdown
	// within a few answers; overallSamples is for all searchers together.
	classSamples   = 4
	overallSamples = 512
	// maxPaceAge is the age at which a reported pace says nothing any more: it changes many
	// times a second.
	maxPaceAge = 250 * time.Millisecond
	// serviceClip limits a sample to a multiple of the current estimate, so that
	// one straggler changes the estimate little.
	serviceClip = 4
	busySamples = 16
	// busySlotWait is the share of a service time that a request waits on average
	// for each request already in a slot.
	busySlotWait = 0.4
	// windowEpoch is half of the time after which a minimum network time expires
	// unless it is observed again. It outlasts most overloads, in which every
	// latency includes a queue.
	windowEpoch = 30 * time.Second

	// defaultMaxReportAge suits instances that get many answers a second from each
	// searcher.
	defaultMaxReportAge = 50 * time.Millisecond

	// The time until an ejected searcher is probed doubles with each failure in a
	// row, from minBackoff to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// The time for which other searchers are preferred doubles with each shed in a
	// row; its bounds are about one service time and the age at which the load has
	// changed anyway.
	minShedBackoff = 5 * time.Millisecond
	maxShedBackoff = 500 * time.Millisecond
	// maxFailures is how many consecutive failures exclude a searcher even if its
	// shard has no other, so that one broken connection doesn't fail a shard.
	maxFailures = 3
	// A searcher is ejected after overdueRequests cancelled requests with no
	// response in between, each cancelled after overdueFactor times the typical
	// latency or later.
	overdueRequests = 2
	overdueFactor   = 2
	// staleAfter is the age of the last response from which a searcher is assumed
	// to work at twice its estimated speed, so that one whose estimate is too
	// high gets a request that corrects it. For a request with a class, only the
	// excess over the mean of all searchers is halved.
	staleAfter = 2 * time.Second
	// failureWeight is the weight of the latest outcome in the failure rate; after
	// failureDecay it has lost two thirds of that, so that a recovered searcher is
	// tried again.
	failureWeight = 0.25
	failureDecay  = 3 * time.Second
	// maxFailureRate bounds the failure rate when the expected time is divided by
	// the success rate.
	maxFailureRate = 0.9
	// drainingTTL is how long a searcher's own report that it is draining overrides
	// a status that denies it, since the status may lag.
	drainingTTL = 10 * time.Second
)

// newState returns the assumed state of a searcher without samples.
func newState(maxReportAge time.Duration) *state {
	return &state{service: initialService, maxReportAge: maxReportAge}
}

// classTime is the moving average of the service time of a class of requests.
type classTime struct {
	service time.Duration
	// last is the newest sample.
	last    time.Duration
	answers int
}

// add adds a sample; maxSamples limits how many samples the average covers.
func (c *classTime) add(sample time.Duration, maxSamples int) {
	if c.answers == 0 {
		c.service = sample
	}

	c.answers++
	c.last = sample
	c.service += (min(sample, serviceClip*c.service) - c.service) / time.Duration(min(c.answers, maxSamples))
}

func (s *state) learn(class string, sample time.Duration) {
	c := s.classes[class]
	if c == nil {
		if s.classes == nil {
			s.classes = make(map[string]*classTime)
		}

		c = &classTime{}
		s.classes[class] = c
	}

	c.add(sample, classSamples)
}

// crossDomainCost returns the assumed network time and the penalty of a searcher
// in another failure domain; zero for one in the request's own.
func (s *state) crossDomainCost(sr *domain.Searcher, r *Request) time.Duration {
	if sr.FailureDomain == r.LocalDomain {
		return 0
	}

	return remoteNetworkTime + r.RemotePenalty
}

// expected returns the expected time to the answer of a request sent now.
func (s *state) expected(now time.Time, sr *domain.Searcher, localDomain string) time.Duration {
	work := s.paced(now, s.service) + s.wait(now, float64(max(sr.Slots, 1)))
	if now.Sub(s.respondedAt) > staleAfter {
		work /= 2
	}

	return s.networkTime(sr, localDomain) + work
}

// networkTime returns the expected network time.
func (s *state) networkTime(sr *domain.Searcher, localDomain string) time.Duration {
	if s.answers == 0 && sr.FailureDomain != localDomain {
		return remoteNetworkTime
	}

	return s.network.value()
}

// wait returns the expected queueing time of a request sent now. It rises slowly
// even while slots are free, since requests of other instances arrive too.
func (s *state) wait(now time.Time, slots float64) time.Duration {
	n := s.queueLength(now)
	queued := max(n+1-slots, 0)

	return time.Duration(float64(s.paced(now, s.service)) * (queued + busySlotWait*min(n, slots)) / slots)
}

// queueLength returns the expected number of requests at the searcher, running
// ones included.
func (s *state) queueLength(now time.Time) float64 {
	own := float64(s.outstanding)

	age := now.Sub(s.reportedAt)
	if age >= s.maxReportAge {
		return own
	}

	weight := 1 - float64(age)/float64(s.maxReportAge)

	return max(own, weight*float64(s.reported)+float64(s.sentSince))
}

// recentPace returns how many times as long as usual work takes: as last reported, and more and more
// as usual the older that is.
func (s *state) recentPace(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	if age >= maxPaceAge {
		return 1
	}

	return 1 + (s.pace-1)*(1-float64(age)/float64(maxPaceAge))
}

// paced returns how long work takes now that usually takes d.
func (s *state) paced(now time.Time, d time.Duration) time.Duration {
	if s.pace == 0 {
		return d
	}

	return time.Duration(float64(d) * s.recentPace(now))
}

// isDraining reports whether the searcher itself or a health signal that isn't
// ignored says that it takes no new work.
func (s *state) isDraining() bool {
	return s.draining || (!s.ignoreHealth && (s.leaving || s.statusDraining))
}

func (s *state) dispatch(now time.Time, slots uint32, probe bool) {
	s.outstanding++
	s.sentSince++
	s.slots = slots

	if probe {
		s.probing, s.probeSent = true, now
	}
}

func (s *state) release(now time.Time, class string, o Outcome, latency time.Duration, load *Load) {
	s.outstanding--
	s.sentSince = max(s.sentSince-1, 0)
	s.recordOutcome(now, o)

	switch o {
	case Answered:
		s.responded(now)
		s.answered(now, class, latency, load)
	case Shed:
		s.responded(now)
		s.limit.Shed(now, s.slots)
		s.shedBackoff = min(max(2*s.shedBackoff, minShedBackoff), maxShedBackoff)
		s.shedUntil = now.Add(s.shedBackoff)
	case Draining:
		s.responded(now)
		s.draining, s.drainingAt = true, now
	case Refused:
		s.responded(now)
	case Unreachable:
		s.failed(now)
	case Cancelled:
		s.cancelled(now, latency)
		s.markSlow(now, class, latency)
	}
}

// recordOutcome updates the failure rate; a cancellation says nothing about it.
func (s *state) recordOutcome(now time.Time, o Outcome) {
	if o != Cancelled {
		s.failureRate.Add(now, o != Answered, failureWeight, failureDecay)
	}
}

// markSlow uses a cancelled request as a lower bound of the service time, since
// it would have taken longer than elapsed. Without it, a slow searcher whose
// requests are all cancelled in favour of their hedges would never count as slow.
// The bound expires after a few mean times between answers, so that a short pause
// of a searcher that answers often has a short effect.
func (s *state) markSlow(now time.Time, class string, elapsed time.Duration) {
	if class == "" {
		return
	}

	bound := min(elapsed, maxSlowService)
	if now.Before(s.slowUntil) && bound <= s.slowService {
		// An attempt cancelled early, or never sent, gives a weaker bound than the
		// one in force.
		return
	}

	s.slowService = bound
	s.slowUntil = now.Add(min(max(slowGaps*s.gap, minSlowTime), maxSlowTime))
}

// responded records a response of any kind, refusals included.
func (s *state) responded(now time.Time) {
	if s.failures >= maxFailures {
		s.limit.SlowStart()
	}

	s.failures, s.backoff, s.probing, s.overdue = 0, 0, false, 0
	s.respondedAt = now
}

// observeGap updates the mean time between answers and ends the slow bound.
func (s *state) observeGap(now time.Time) {
	if !s.answeredAt.IsZero() {
		s.gap += (now.Sub(s.answeredAt) - s.gap) / gapSamples
	}

	s.answeredAt, s.slowUntil = now, time.Time{}
}

func (s *state) answered(now time.Time, class string, latency time.Duration, load *Load) {
	service := latency

	if load != nil {
		s.report(now, load)
		s.sentSince = 0

		if load.Draining {
			s.drainingAt = now
		}

		service = s.servicePart(latency, load)
	}

	network := max(latency-service, 0)

	// What is learned is the time at the usual pace.
	if load != nil && load.Pace > 0 {
		service = time.Duration(float64(service) / load.Pace)
	}

	if class != "" {
		s.learn(class, service)
	}

	s.answers++
	s.shedBackoff = 0
	s.observeGap(now)
	s.network.add(now, network)
	s.service += (min(service, serviceClip*s.service) - s.service) / time.Duration(min(s.answers+1, serviceSamples))
	s.limit.Answered(now, s.slots, limits.Sample{
		Wait: network - s.network.value(), Service: s.service,
	})
}

// servicePart returns the service time in a latency. If the searcher didn't
// report it, the request is assumed to have waited in a queue as long as the one
// in the report.
func (s *state) servicePart(latency time.Duration, load *Load) time.Duration {
	if load.Service > 0 {
		return min(load.Service, latency)
	}

	return time.Duration(float64(latency) / (1 + float64(load.Queued)/float64(max(s.slots, 1))))
}

func (s *state) report(now time.Time, l *Load) {
	s.reported, s.reportedAt = l.Running+l.Queued, now
	s.pace = l.Pace
	s.draining = l.Draining
	s.busy += (float64(s.reported) - s.busy) / busySamples

	if l.Cold && !s.cold {
		s.limit.SlowStart()
	}

	s.cold = l.Cold
}

func (s *state) failed(now time.Time) {
	// The other requests of a broken connection fail with it and count as one
	// failure.
	if s.failures > 0 && now.Before(s.probeAt) && !s.probing {
		return
	}

	s.failures++
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.probeAt = now.Add(s.backoff)
	s.probing, s.overdue = false, 0
}

// cancelled records a failure for an overdue probe, and one after overdueRequests
// overdue requests in a row. A probe cancelled earlier is inconclusive and is
// repeated after the backoff.
func (s *state) cancelled(now time.Time, elapsed time.Duration) {
	overdue := elapsed >= overdueFactor*(s.service+s.network.value())
	probe := s.probing && now.Add(-elapsed).Equal(s.probeSent)

	switch {
	case probe && !overdue:
		s.probing = false
		s.probeAt = now.Add(s.backoff)
	case probe:
		s.failed(now)
	case overdue && s.failures == 0 && now.Add(-elapsed).After(s.respondedAt):
		s.overdue++

		if s.overdue >= overdueRequests {
			s.failed(now)
		}
	}
}

func (s *state) probeDue(now time.Time) bool { return !s.probing && !now.Before(s.probeAt) }

// windowedMin is the minimum of the values of the current and previous epochs.
type windowedMin struct {
	current, previous time.Duration
	started           time.Time
	known             bool
}

func (m *windowedMin) add(now time.Time, d time.Duration) {
	switch {
	case !m.known:
		*m = windowedMin{current: d, previous: d, started: now, known: true}
	case now.Sub(m.started) >= windowEpoch:
		m.previous, m.current, m.started = m.current, d, now
	default:
		m.current = min(m.current, d)
	}
}

func (m *windowedMin) value() time.Duration { return min(m.current, m.previous) }
