package routing

import (
	"time"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/limits"
	"primrosespring.example/internal/outcome"
)

// state is what the instance knows of one searcher. The table's lock guards it.
type state struct {
	outstanding int
	limit       limits.Limit
	slots       uint32

	// service and network split the usual latency without a queue: the
	// searcher's own time, and the network's and protocol's.
	service time.Duration
	network windowedMin
	answers int
	// classes holds the service times of the classes of requests.
	classes map[string]*classTime
	// maxReportAge is the age at which a reported queue has lost all its weight.
	maxReportAge time.Duration
	// gap is the mean time between answers; answeredAt is the last one.
	gap        time.Duration
	answeredAt time.Time
	// slowService is the least service time to expect until slowUntil.
	slowService time.Duration
	slowUntil   time.Time
	// busy is the mean of the reported numbers of requests.
	busy float64

	// reported is the number of requests that the searcher had when it last
	// answered, and sentSince how many were sent after that and are still open.
	reported   uint32
	reportedAt time.Time
	sentSince  int

	// overdue counts the requests given up as overdue since the
	// searcher last answered, at respondedAt.
	overdue     int
	respondedAt time.Time

	// shedUntil is until when other searchers are preferred after a shed.
	shedUntil   time.Time
	shedBackoff time.Duration

	// failureRate is the share of attempts that failed or were refused.
	failureRate outcome.FailureRate

	// failures counts the failures in a row; the searcher is believed dead
	// while it isn't zero.
	failures  int
	backoff   time.Duration
	probeAt   time.Time
	probing   bool
	probeSent time.Time

	// draining is what the searcher itself said in an answer or refusal, last at
	// drainingAt.
	draining   bool
	drainingAt time.Time
	cold       bool

	// statusDraining and unhealthy are from the status endpoint, and leaving is
	// from the platform's list; they don't count while ignoreHealth is set.
	statusDraining bool
	unhealthy      bool
	leaving        bool
	ignoreHealth   bool
}

const (
	initialService = 5 * time.Millisecond
	// remoteNetworkTime is expected of a searcher in another failure domain until
	// the first answer shows its distance.
	remoteNetworkTime = 6 * time.Millisecond
	serviceWeight     = 16
	gapWeight         = 8
	// What an overtaken request tells holds for slowGaps times the usual time
	// between answers, within bounds. It is taken for at most maxSlowService, since a
	// searcher that stands still tells nothing of its speed.
	slowGaps       = 3
	minSlowTime    = 100 * time.Millisecond
	maxSlowTime    = 8 * time.Second
	maxSlowService = time.Second
	// classWeight follows a searcher that turns slow within a few answers;
	// overallWeight is that of all searchers together.
	classWeight   = 4
	overallWeight = 512
	// serviceClip bounds what one straggler adds to the estimate, as a multiple
	// of it.
	serviceClip = 4
	busyWeight  = 16
	// busySlotWait is the share of a service time that a request waits on average
	// for each request that is in a slot before it.
	busySlotWait = 0.4
	// windowEpoch is half of the time after which a distance that is no longer
	// seen is forgotten. It outlasts most overloads, in which every latency
	// includes a queue.
	windowEpoch = 30 * time.Second

	// defaultMaxReportAge suits instances that hear from each searcher many times a
	// second.
	defaultMaxReportAge = 50 * time.Millisecond

	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// Sheds in a row keep requests away for longer and longer; the bounds are
	// about one service time and the age at which load has changed anyway.
	minShedBackoff = 5 * time.Millisecond
	maxShedBackoff = 500 * time.Millisecond
	// maxFailures is how many failures in a row take a searcher out even when
	// its shard has no other; one broken connection doesn't lose a shard.
	maxFailures = 3
	// A searcher is treated as dead when overdueRequests in a row were given up
	// after overdueFactor times its usual latency, with no answer in between.
	overdueRequests = 2
	overdueFactor   = 2
	// staleAfter is the age of the last answer from which a searcher is assumed
	// to work at twice its estimated speed, so that one whose estimate is too
	// high gets a request that corrects it.
	staleAfter = 2 * time.Second
	// failureWeight is the weight of the latest outcome in the share of failing
	// attempts; an outcome has lost two thirds of its weight after failureDecay, so
	// that a searcher that recovered is tried again.
	failureWeight = 0.25
	failureDecay  = 3 * time.Second
	// maxFailureRate bounds the share that an expected time is divided by.
	maxFailureRate = 0.9
	// drainingTTL is how long what a searcher itself said of draining outweighs a
	// status that says otherwise, since a status may lag.
	drainingTTL = 10 * time.Second
)

// newState returns what is assumed of an unknown searcher.
func newState(reportAge time.Duration) *state {
	return &state{service: initialService, maxReportAge: reportAge}
}

// classTime is the usual service time of a class of requests at one searcher.
type classTime struct {
	service time.Duration
	// last is the newest sample.
	last    time.Duration
	answers int
}

// add takes a sample; weight bounds how many samples the mean goes over.
func (c *classTime) add(sample time.Duration, weight int) {
	if c.answers == 0 {
		c.service = sample
	}

	c.answers++
	c.last = sample
	c.service += (min(sample, serviceClip*c.service) - c.service) / time.Duration(min(c.answers, weight))
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

	c.add(sample, classWeight)
}

// crossDomainCost returns the expected distance, with the penalty for a searcher elsewhere.
func (s *state) crossDomainCost(sr *domain.Searcher, r *Request) time.Duration {
	if sr.FailureDomain == r.LocalDomain {
		return 0
	}

	return remoteNetworkTime + r.RemotePenalty
}

// expected returns the expected time to the answer of a request sent now.
func (s *state) expected(now time.Time, sr *domain.Searcher, nearby string) time.Duration {
	work := s.service + s.wait(now, float64(max(sr.Slots, 1)))
	if now.Sub(s.respondedAt) > staleAfter {
		work /= 2
	}

	return s.networkTime(sr, nearby) + work
}

// networkTime returns the expected distance.
func (s *state) networkTime(sr *domain.Searcher, nearby string) time.Duration {
	if s.answers == 0 && sr.FailureDomain != nearby {
		return remoteNetworkTime
	}

	return s.network.value()
}

// wait returns the expected time in the queue of a request sent now. Below full
// slots it rises slowly, since requests of other instances arrive in between.
func (s *state) wait(now time.Time, slots float64) time.Duration {
	n := s.queueLength(now)
	full := max(n+1-slots, 0)

	return time.Duration(float64(s.service) * (full + busySlotWait*min(n, slots)) / slots)
}

// queueLength returns the expected number of requests at the searcher.
func (s *state) queueLength(now time.Time) float64 {
	own := float64(s.outstanding)

	age := now.Sub(s.reportedAt)
	if age >= s.maxReportAge {
		return own
	}

	weight := 1 - float64(age)/float64(s.maxReportAge)

	return max(own, weight*float64(s.reported)+float64(s.sentSince))
}

// isDraining reports whether any sign says that the searcher gets no new work.
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

// recordOutcome follows the share of attempts that fail.
func (s *state) recordOutcome(now time.Time, o Outcome) {
	if o != Cancelled {
		s.failureRate.Add(now, o != Answered, failureWeight, failureDecay)
	}
}

// markSlow learns from a request that was given up: it would have taken longer
// than elapsed. Without it a slow searcher whose requests are all overtaken by
// their hedges would never be known as slow. The estimate holds for a few of the
// usual times between answers, so that a short pause is forgotten soon by an
// instance that hears from the searcher often.
func (s *state) markSlow(now time.Time, class string, elapsed time.Duration) {
	if class == "" {
		return
	}

	slowAs := min(elapsed, maxSlowService)
	if now.Before(s.slowUntil) && slowAs <= s.slowService {
		// An attempt that was cancelled early, or never begun, tells less than the
		// one before.
		return
	}

	s.slowService = slowAs
	s.slowUntil = now.Add(min(max(slowGaps*s.gap, minSlowTime), maxSlowTime))
}

// responded notes that the searcher answered in any way.
func (s *state) responded(now time.Time) {
	if s.failures >= maxFailures {
		s.limit.SlowStart()
	}

	s.failures, s.backoff, s.probing, s.overdue = 0, 0, false, 0
	s.respondedAt = now
}

// observeGap takes the time of an answer.
func (s *state) observeGap(now time.Time) {
	if !s.answeredAt.IsZero() {
		s.gap += (now.Sub(s.answeredAt) - s.gap) / gapWeight
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

	if class != "" {
		s.learn(class, service)
	}

	distance := max(latency-service, 0)
	s.answers++
	s.shedBackoff = 0
	s.observeGap(now)
	s.network.add(now, distance)
	s.service += (min(service, serviceClip*s.service) - s.service) / time.Duration(min(s.answers+1, serviceWeight))
	s.limit.Answered(now, s.slots, limits.Sample{
		Wait: distance - s.network.value(), Service: s.service,
	})
}

// servicePart returns the part of a latency that the searcher worked on the
// request. If it doesn't say, the queue that it left behind is taken for the
// queue that it found.
func (s *state) servicePart(latency time.Duration, load *Load) time.Duration {
	if load.Service > 0 {
		return min(load.Service, latency)
	}

	return time.Duration(float64(latency) / (1 + float64(load.Queued)/float64(max(s.slots, 1))))
}

func (s *state) report(now time.Time, l *Load) {
	s.reported, s.reportedAt = l.Running+l.Queued, now
	s.draining = l.Draining
	s.busy += (float64(s.reported) - s.busy) / busyWeight

	if l.Cold && !s.cold {
		s.limit.SlowStart()
	}

	s.cold = l.Cold
}

func (s *state) failed(now time.Time) {
	// The other requests of a connection that broke fail with it; they say no
	// more than the first.
	if s.failures > 0 && now.Before(s.probeAt) && !s.probing {
		return
	}

	s.failures++
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.probeAt = now.Add(s.backoff)
	s.probing, s.overdue = false, 0
}

// cancelled learns from a request that was given up. A probe that was overtaken
// early says nothing; the next one follows.
func (s *state) cancelled(now time.Time, elapsed time.Duration) {
	late := elapsed >= overdueFactor*(s.service+s.network.value())
	probe := s.probing && now.Add(-elapsed).Equal(s.probeSent)

	switch {
	case probe && !late:
		s.probing = false
		s.probeAt = now.Add(s.backoff)
	case probe:
		s.failed(now)
	case late && s.failures == 0 && now.Add(-elapsed).After(s.respondedAt):
		s.overdue++

		if s.overdue >= overdueRequests {
			s.failed(now)
		}
	}
}

func (s *state) probeDue(now time.Time) bool { return !s.probing && !now.Before(s.probeAt) }

// windowedMin is the least value of the current and the previous epoch.
type windowedMin struct {
	current, previous time.Duration
	started           time.Time
	known             bool
}

func (f *windowedMin) add(now time.Time, d time.Duration) {
	switch {
	case !f.known:
		*f = windowedMin{current: d, previous: d, started: now, known: true}
	case now.Sub(f.started) >= windowEpoch:
		f.previous, f.current, f.started = f.current, d, now
	default:
		f.current = min(f.current, d)
	}
}

func (f *windowedMin) value() time.Duration { return min(f.current, f.previous) }
