// Package serving answers callers' requests on the routes in force: it matches
// the route, admits the request, drives the state machine of package scatter
// with real searchers and timers, and makes the answer. A request that goes to
// one pool is a query with a single shard.
//
// A request works on the View that it took at its start, so that its answer is
// of one configuration version. Every refusal is a domain.Error whose fate says
// truthfully whether a searcher may have run the request.
package serving

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/hedging"
	"primrosespring.example/internal/roster"
	"primrosespring.example/internal/routing"
)

// Request is one request of a caller. It must not be changed once served.
type Request struct {
	// ID is the caller's id of this attempt of its own.
	ID   string
	Host string
	// Path selects the route; Target is the whole request target, unchanged.
	Path   string
	Target string
	Method string
	// Header is what is passed on to searchers.
	Header http.Header
	Body   []byte
	// Received is when the request arrived.
	Received time.Time
	// CallerTimeout is how long the caller waits; zero if it doesn't say.
	CallerTimeout time.Duration
	// HandedOverBy is the instance that took the request from its caller, if it
	// isn't this one.
	HandedOverBy string
	// Margin is what that instance keeps of the caller's time for the way back.
	Margin time.Duration
}

// Response is the answer of one searcher, or the gathered answer of many.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Gathered says that Body was merged from the shards' answers, of which
	// Signatures are the signatures and Missing is how many lack.
	Gathered   bool
	Signatures []string
	Missing    int
}

// Call is one attempt.
type Call struct {
	Searcher *domain.Searcher
	Request  *Request
	// Deadline is when the searcher should stop work.
	Deadline time.Time
}

// Reply is the complete answer of a searcher that ran the request.
type Reply struct {
	Response
	// Signature is the searcher's signature of the answer; empty if it gave none.
	Signature string
	// Load is what the searcher reports of its load, or nil.
	Load *routing.Load
}

// Success reports whether the searcher answered with success.
func (r *Reply) Success() bool { return r.Status >= 200 && r.Status < 300 }

// Searchers sends attempts. A searcher's failure after it ran the request is a
// Reply; every other failure is a domain.Error, whose fate is not run only if
// the searcher said so or nothing was sent. The searcher's load goes along with
// a refusal, if it is known.
type Searchers interface {
	Do(ctx context.Context, c Call) (*Reply, *routing.Load, error)
}

// Gatherers hands queries over many shards to instances that gather for others.
type Gatherers interface {
	// Gather hands the request over and returns the outcome and the instance that
	// worked on it. If begun is false, no instance has begun to, and the request
	// may be gathered here. Errors are *domain.Error.
	Gather(ctx context.Context, r *Request, route *domain.Route) (resp *Response, by string, begun bool, err error)
}

// Settings of an Engine.
type Settings struct {
	Instance domain.Instance
	// Cores is the processor share in cores; zero if it isn't known.
	Cores float64
	// Gatherers takes queries over many shards; nil if this instance gathers all of
	// them itself.
	Gatherers Gatherers
	// ExtraAttempts bounds retries and hedges for each pool.
	ExtraAttempts budget.Limit
	// LogRoutes writes a line for each placement of a request.
	LogRoutes bool
	// SuspectStale is called when a request suggests that the list of searchers is out
	// of date: a pool has none, or another searcher answers at an address. It must
	// not block. Nil is allowed.
	SuspectStale func()
}

const (
	// answerWay is kept of a caller's time for what an instance doesn't see: the
	// opening of the connection, the request's way and the answer's, 1 ms each, and
	// their jitter.
	answerWay = 5 * time.Millisecond
	// answerWork is the processor time, on a whole core, that may lie between the
	// last answer of a searcher and the end of the caller's answer: other queries'
	// parts that are being read, the merge and the write.
	answerWork = 1800 * time.Microsecond
	// defaultCores is the processor share of an instance that doesn't know its own.
	defaultCores = 0.5
	// hedgeQuantile is the share of first attempts that end before their hedge.
	// Searchers that pause for longer than an objective leave little time for a
	// second attempt, and the pools' budgets allow extra attempts for one request
	// in five.
	hedgeQuantile = 0.75
	// remotePenalty is how much longer a request may be expected to take nearby than in
	// another failure domain, since bytes between them are paid for.
	remotePenalty = 6 * time.Millisecond
	// retryFloor is the shortest time after which a refused caller is told to
	// return.
	retryFloor = 50 * time.Millisecond
)

// Engine serves requests. It is safe for concurrent use.
type Engine struct {
	log       zerolog.Logger
	settings  Settings
	directory *directory.Directory
	searchers Searchers
	routing   *routing.Table
	turns     atomic.Uint64
	usage     usage

	mu       sync.Mutex // Guards what follows and the settings.
	delayers map[string]*hedging.Delayer
	budgets  map[string]*poolBudget
	// started is when the engine began to count requests.
	started time.Time
	// shares are the parts of the shared budgets that this instance may use.
	shares Shares
}

// Shares are the parts, 0 to 1, of what all instances share that one may use:
// for queries over many shards, and for requests to one pool.
type Shares struct {
	Gathered float64
	Direct   float64
}

// AssumedShares hold before the number of instances is known.
func AssumedShares() Shares {
	return Shares{Gathered: 1.0 / roster.Assumed, Direct: 1.0 / roster.Assumed}
}

// New returns an engine.
func New(log zerolog.Logger, s Settings, d *directory.Directory, sr Searchers, rt *routing.Table) *Engine {
	return &Engine{
		log: log, settings: s, directory: d, searchers: sr, routing: rt,
		started: time.Now(), shares: AssumedShares(),
		delayers: make(map[string]*hedging.Delayer), budgets: make(map[string]*poolBudget),
	}
}

// margin is what is kept of a caller's time, so that an answer given at the last
// moment isn't late: less on a faster processor, and more for a request that
// another instance took from the caller.
func (e *Engine) margin(r *Request) time.Duration {
	work := time.Duration(float64(answerWork) / cmp.Or(e.settings.Cores, defaultCores))
	if r.HandedOverBy != "" {
		return r.Margin + work
	}

	return answerWay + work
}

// Serve answers one request until its caller leaves, which ends ctx, or its
// time is over. Errors are *domain.Error.
func (e *Engine) Serve(ctx context.Context, r *Request) (*Response, error) {
	x, err := e.begin(r)
	if err != nil {
		e.logRefusal(r, err)
		refused(err)

		return nil, err
	}

	if e.settings.Gatherers != nil && x.entry.Route.Gathered() {
		resp, by, begun, err := e.settings.Gatherers.Gather(ctx, x.forHandover(), x.entry.Route)
		if begun {
			x.logHandedOver(by, resp, err)
			ended(x.entry.Route.Name, time.Since(r.Received), resp, err)

			return resp, err
		}
	}

	return x.serve(ctx)
}

// Prepare checks a request that another instance hands over. serve carries it out
// on the view of now; if it isn't called, nothing is sent. fingerprint is that of
// the route which the other instance matched.
func (e *Engine) Prepare(r *Request, fingerprint uint64) (serve func(ctx context.Context) (*Response, error), err error) {
	x, err := e.begin(r)
	if err != nil {
		return nil, err
	}

	if x.entry.Route.Fingerprint() != fingerprint || !x.entry.Route.Gathered() {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeConflict, "match route",
			"version %d defines route %s differently", x.view.Table.Version, x.entry.Route.Name)
	}

	return x.serve, nil
}

// begin matches and admits the request.
func (e *Engine) begin(r *Request) (*execution, error) {
	view := e.directory.View()
	if view == nil {
		err := domain.Errorf(domain.FateNotRun, domain.CodeNoConfiguration, "match route", "no configuration is known yet")
		err.RetryAfter = retryFloor

		return nil, err
	}

	entry, ok := view.Match(r.Host, r.Path)
	if !ok {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeNotFound, "match route",
			"version %d has no route for %s%s", view.Table.Version, r.Host, r.Path)
	}

	x := newExecution(e, view, entry, &entry.Targets[e.split(entry)], r)

	return x, x.admit()
}

// suspectStale reports that the list of searchers seems out of date.
func (e *Engine) suspectStale() {
	if e.settings.SuspectStale != nil {
		e.settings.SuspectStale()
	}
}

// split chooses a target in proportion to the weights. Steps of the golden
// ratio spread any run of requests evenly.
func (e *Engine) split(entry *directory.Entry) int {
	if len(entry.Targets) == 1 {
		return 0
	}

	const goldenRatio = 0.6180339887498949

	var total float64
	for i := range entry.Targets {
		total += float64(entry.Targets[i].Weight)
	}

	turn := float64(e.turns.Add(1)) * goldenRatio
	at := (turn - float64(uint64(turn))) * total

	for i := range entry.Targets {
		if at -= float64(entry.Targets[i].Weight); at < 0 {
			return i
		}
	}

	return len(entry.Targets) - 1
}

func (e *Engine) delayer(key string) *hedging.Delayer {
	e.mu.Lock()
	defer e.mu.Unlock()

	d, ok := e.delayers[key]
	if !ok {
		d = &hedging.Delayer{Quantile: hedgeQuantile}
		e.delayers[key] = d
	}

	return d
}

// poolBudget is the budget of extra attempts at one pool, with the kinds of routes
// that use it.
type poolBudget struct {
	*budget.Window
	gathered, direct bool
}

// share returns the part of the slack for the pool: the lesser one if routes of
// both kinds use it.
func (p *poolBudget) share(s Shares) float64 {
	switch {
	case p.gathered && p.direct:
		return min(s.Gathered, s.Direct)
	case p.gathered:
		return s.Gathered
	default:
		return s.Direct
	}
}

// poolBudget returns the budget of a pool for a route of the kind.
func (e *Engine) poolBudget(pool string, gathered bool) *budget.Window {
	e.mu.Lock()
	defer e.mu.Unlock()

	p, ok := e.budgets[pool]
	if !ok {
		p = &poolBudget{Window: budget.NewWindow(e.started)}
		e.budgets[pool] = p
	}

	if used := p.gathered && gathered || p.direct && !gathered; !used {
		p.gathered, p.direct = p.gathered || gathered, p.direct || !gathered
		p.SetLimit(e.settings.ExtraAttempts, p.share(e.shares))
	}

	return p.Window
}

// SetExtraAttempts replaces the limit of retries and hedges.
func (e *Engine) SetExtraAttempts(l budget.Limit) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.settings.ExtraAttempts = l
	e.limitBudgets()
}

// SetShares says which parts of the shared budgets this instance may use.
func (e *Engine) SetShares(s Shares) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.shares = s
	e.limitBudgets()
}

func (e *Engine) limitBudgets() {
	for _, p := range e.budgets {
		p.SetLimit(e.settings.ExtraAttempts, p.share(e.shares))
	}
}

// shardBudgets pays for the extra attempts of a target from its pools' budgets.
// It implements scatter.Budget.
type shardBudgets []*budget.Window

func (e *Engine) shardBudgets(t *directory.Target, gathered bool) shardBudgets {
	b := make(shardBudgets, len(t.Pools))
	for i, p := range t.Pools {
		b[i] = e.poolBudget(p, gathered)
	}

	return b
}

// Fill counts the request for each pool.
func (b shardBudgets) Fill(int, uint32) {
	now := time.Now()
	for _, w := range b {
		w.Request(now)
	}
}

// Take pays for an extra attempt at the shard.
func (b shardBudgets) Take(shard uint32, _ budget.Kind) bool { return b[shard].Take(time.Now()) }

// Return gives back what Take paid.
func (b shardBudgets) Return(shard uint32) { b[shard].Return(time.Now()) }

// Level returns the unspent part of the shard's budget, 0 to 1.
func (b shardBudgets) Level(shard uint32) float64 { return b[shard].Level(time.Now()) }

// Observe takes the outcome of an attempt at the shard.
func (b shardBudgets) Observe(shard uint32, answered bool) { b[shard].Observe(time.Now(), answered) }

// Insufficient reports whether the shard's budget can't pay for one more request.
func (b shardBudgets) Insufficient(shard uint32, lacking float64) bool {
	return b[shard].Insufficient(time.Now(), lacking)
}
