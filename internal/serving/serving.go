// Package serving answers callers' requests: it matches the route, admits the
// request, runs the state machine of package scatter against searchers and
// timers, and builds the answer. A request to one pool is a query with a single
// shard.
//
// A request uses the directory.View that was current when it started, so its
// answer comes from one configuration version. Every refusal is a domain.Error
// whose fate says whether a searcher may have run the request.
package serving

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/contain"
	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/hedging"
	"primrosespring.example/internal/quarantine"
	"primrosespring.example/internal/quota"
	"primrosespring.example/internal/roster"
	"primrosespring.example/internal/routing"
)

// Request is one request of a caller. It must not be modified after Serve or
// Prepare was called with it.
type Request struct {
	// ID identifies the request; a caller that tries again uses another one.
	ID   string
	Host string
	// Path selects the route; Target is the unmodified request target.
	Path   string
	Target string
	Method string
	// Header is forwarded to searchers.
	Header http.Header
	// Withheld holds the headers that are forwarded only if the configuration requires no
	// keys: they may hold a key, or name a member organisation.
	Withheld http.Header
	// Credentials are what the caller states of its member organisation.
	Credentials domain.Credentials
	// Member is the name of the member organisation that the request is processed for; empty
	// if it has none. Serve sets it. In a request that was handed over, it is the one that
	// HandedOverBy knows.
	Member string
	Body   []byte
	// Received is when the request arrived.
	Received time.Time
	// CallerTimeout is how long the caller waits; zero if it isn't stated.
	CallerTimeout time.Duration
	// HandedOverBy is the instance that received the request from its caller;
	// empty if it is this one.
	HandedOverBy string
	// Margin is the part of the caller's timeout that HandedOverBy reserves for
	// returning the answer.
	Margin time.Duration
}

// digest identifies the content of the request, which is the same when a caller tries again.
func (r *Request) digest() quarantine.Digest {
	return quarantine.DigestOf(r.Member, r.Method, r.Host, r.Target, r.Body)
}

// Response is the answer of one searcher, or the merged answer of many.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Gathered says that Body was merged from the answers of shards. Signatures
	// holds the signatures of those answers, and Missing is the number of shards
	// without an answer.
	Gathered   bool
	Signatures []string
	Missing    int
}

// Call is one attempt of a request at a searcher.
type Call struct {
	Searcher *domain.Searcher
	Request  *Request
	// Deadline is when the searcher should stop working on the request.
	Deadline time.Time
	// SendBy is until when the attempt may be sent if its searcher has a limit; zero if it
	// had none when the attempt was placed.
	SendBy time.Time
	// Written is called right before the attempt is written to the searcher; nil if nobody wants to know.
	Written func()
	// Allowed is asked right before the attempt is sent; nothing is sent if it returns an
	// error. Nil allows it.
	Allowed func() error
}

// Reply is the complete answer of a searcher that ran the request.
type Reply struct {
	Response
	// Signature is the searcher's signature of the answer, if it sent one.
	Signature string
	// Load is the load that the searcher reported, or nil.
	Load *routing.Load
	// FalseRefusal says that the status would tell the caller that the request didn't run, which
	// the searcher doesn't state. Such an answer isn't passed on.
	FalseRefusal bool
}

// Success reports whether the status is 2xx.
func (r *Reply) Success() bool { return r.Status >= 200 && r.Status < 300 }

// SearcherClient sends attempts to searchers.
type SearcherClient interface {
	// Do sends an attempt. If a searcher ran the request and failed, its answer is a
	// Reply; every other failure is a *domain.Error, whose fate is not run only if
	// the searcher said so or nothing was sent. The code is not found if another
	// searcher answered at the address. A refusal comes with the searcher's load, if
	// it is known.
	Do(ctx context.Context, c Call) (*Reply, *routing.Load, error)
}

// GathererClient hands queries over many shards over to instances that gather for
// others.
type GathererClient interface {
	// Gather hands the request over and returns its outcome and the instance that
	// processed it. If begun is false, no instance started to process it, and this
	// instance may gather it. Errors are *domain.Error.
	Gather(ctx context.Context, r *Request, route *domain.Route) (resp *Response, by string, begun bool, err error)
}

// Settings configure an Engine.
type Settings struct {
	Instance domain.Instance
	// Cores is the CPU share of the instance in cores; zero if it is unknown.
	Cores float64
	// Gatherers processes queries over many shards; nil if this instance gathers
	// all of them itself.
	Gatherers GathererClient
	// ExtraAttempts bounds retries and hedges for each pool.
	ExtraAttempts budget.Limit
	// LogPlacement logs successful requests too, and the searchers that attempts were
	// sent to.
	LogPlacement bool
	// OnStaleList, if set, is called when the list of searchers seems out of date: a
	// pool has no searcher, or another searcher answers at an address. It must not
	// block.
	OnStaleList func()
	// Suspects hold back requests that end searchers.
	Suspects Suspects
	// KeysProven reports whether the instance knows that the configuration was in force
	// lately, so that a key in it may be acted on; nil if that needs no proof.
	KeysProven func() bool
	// ConfigurationDue returns how long it may take until a configuration is known if there is
	// none; nil if that isn't known.
	ConfigurationDue func() time.Duration
	// Caps admits the requests of member organisations with a cap; nil admits all.
	Caps *quota.Table
}

const (
	// networkMargin is the part of a caller's timeout that is reserved for network time
	// that an instance doesn't observe: opening the connection, the request and the
	// answer, 1 ms each, and jitter.
	networkMargin = 5 * time.Millisecond
	// answerCPUTime is the CPU time, on a whole core, that may pass between a
	// searcher's last answer and the end of the answer to the caller: reading answers
	// that belong to other queries, merging and writing.
	answerCPUTime = 1800 * time.Microsecond
	// defaultCores stands for Settings.Cores if that is unknown.
	defaultCores = 0.5
	// hedgeQuantile is the share of first attempts that end before a hedge is due. A
	// searcher may pause for longer than the latency objective, so a hedge has to be
	// sent early; the pools' budgets allow extra attempts for one request in five.
	hedgeQuantile = 0.75
	// remotePenalty is added to the expected latency of searchers in other failure
	// domains, since traffic between failure domains is charged for.
	remotePenalty = 6 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller is told to
	// retry.
	minRetryAfter = 50 * time.Millisecond
	// unusablePause is that time for a route that can't be used until its configuration is replaced.
	unusablePause = time.Second
)

// Engine serves requests. It is safe for concurrent use.
type Engine struct {
	log       zerolog.Logger
	settings  Settings
	directory *directory.Directory
	client    SearcherClient
	routing   *routing.Table
	splitSeq  atomic.Uint64
	usage     usage
	// stop is set once a planned stop has begun.
	stop atomic.Pointer[Stop]

	mu       sync.Mutex // Guards the fields below and settings.ExtraAttempts.
	delayers map[string]*hedging.Delayer
	budgets  map[string]*poolBudget
	// started is when the engine was created; budgets count from then on.
	started time.Time
	// shares are the shares of common budgets that this instance may spend.
	shares Shares
}

// Shares are the shares, 0 to 1, that one instance may use of limits common to all
// instances: Gathered for queries over many shards, Direct for requests to
// one pool.
type Shares struct {
	Gathered float64
	Direct   float64
}

// AssumedShares returns the shares to use until the number of instances is known.
func AssumedShares() Shares {
	return Shares{Gathered: 1.0 / roster.AssumedInstances, Direct: 1.0 / roster.AssumedInstances}
}

// New returns an engine.
func New(log zerolog.Logger, s Settings, d *directory.Directory, c SearcherClient, rt *routing.Table) *Engine {
	return &Engine{
		log: log, settings: s, directory: d, client: c, routing: rt,
		started: time.Now(), shares: AssumedShares(),
		delayers: make(map[string]*hedging.Delayer), budgets: make(map[string]*poolBudget),
	}
}

// margin returns the part of a caller's timeout that is reserved for returning the
// answer. It shrinks with the number of cores, and is larger for a request that
// was handed over, since its answer returns through another instance.
func (e *Engine) margin(r *Request) time.Duration {
	work := time.Duration(float64(answerCPUTime) / cmp.Or(e.settings.Cores, defaultCores))
	if r.HandedOverBy != "" {
		return r.Margin + work
	}

	return networkMargin + work
}

// Serve answers one request. It returns early if ctx ends, which means that the
// caller closed its connection. Errors are *domain.Error.
func (e *Engine) Serve(ctx context.Context, r *Request) (resp *Response, err error) {
	failure := contain.Call(e.log, "serve", r.ID, func() error {
		resp, err = e.serve(ctx, r)

		return nil
	})
	if failure != nil {
		return nil, failure
	}

	return resp, err
}

func (e *Engine) serve(ctx context.Context, r *Request) (*Response, error) {
	x, err := e.begin(r)
	if err != nil {
		if x != nil {
			r = x.req
		}

		e.logRefusal(r, err)
		countRefusal(err)

		return nil, err
	}
	defer x.endTrial()

	if err := x.admitMember(ctx); err != nil {
		e.logRefusal(x.req, err)
		countRefusal(err)

		return nil, err
	}

	resp, err := x.serveAnywhere(ctx)
	x.settleMember(err)

	return resp, err
}

// serveAnywhere processes an admitted request on the instance that gathers for it, or here.
func (x *execution) serveAnywhere(ctx context.Context) (*Response, error) {
	e, r := x.engine, x.req

	if e.settings.Gatherers != nil && x.entry.Route.Gathered() {
		resp, by, begun, err := e.settings.Gatherers.Gather(ctx, x.forHandover(), x.entry.Route)
		if begun {
			x.logHandedOver(by, resp, err)
			countResult(x.entry.Route.Name, time.Since(r.Received), resp, err)

			return resp, err
		}
	}

	return x.serve(ctx)
}

// Prepare matches and admits a request that another instance hands over; fingerprint
// is that of the route which the other instance matched. serve processes the request
// with the view that was current in Prepare; nothing is sent unless it is called.
func (e *Engine) Prepare(r *Request, fingerprint uint64) (serve func(ctx context.Context) (*Response, error), err error) {
	x, err := e.begin(r)
	if err != nil {
		return nil, err
	}

	if x.entry.Route.Fingerprint() != fingerprint || !x.entry.Route.Gathered() {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeConflict, "match route",
			"version %d defines route %s differently", x.view.Table.Version, x.entry.Route.Name)
	}

	return func(ctx context.Context) (*Response, error) {
		defer x.endTrial()

		return x.serve(ctx)
	}, nil
}

// begin matches and admits the request. The execution is also returned with an error if the
// member organisation of the request is known.
func (e *Engine) begin(r *Request) (*execution, error) {
	view := e.directory.View()
	if view == nil {
		err := domain.Errorf(domain.FateNotRun, domain.CodeNoConfiguration, "match route", "no configuration is known yet")
		err.RetryAfter = e.configurationDue()

		return nil, err
	}

	entry, ok := view.Match(r.Host, r.Path)
	if !ok {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeNotFound, "match route",
			"version %d has no route for %s%s", view.Table.Version, r.Host, r.Path)
	}

	if entry.Route.Unusable {
		err := domain.Errorf(domain.FateNotRun, domain.CodeNoConfiguration, "match route",
			"version %d has route %s in a form that can't be used", view.Table.Version, entry.Route.Name)
		err.RetryAfter = unusablePause + rand.N(unusablePause/2)

		return nil, err
	}

	r, member, err := e.identify(view, entry.Route, r)
	if err != nil {
		return nil, err
	}

	x := newExecution(e, view, entry, &entry.Targets[e.chooseTarget(entry)], r)

	if member != nil {
		x.member, x.allowed = member, x.checkKey
	}

	if err := x.admit(); err != nil {
		return x, err
	}

	return x, x.checkContent()
}

// configurationDue returns how long a caller should wait that was refused for want of a
// configuration: until this instance may have one, and up to half as long again at random, so that
// callers don't return together.
func (e *Engine) configurationDue() time.Duration {
	due := minRetryAfter
	if e.settings.ConfigurationDue != nil {
		due = max(due, e.settings.ConfigurationDue())
	}

	return due + rand.N(due/2)
}

// reportStaleList calls Settings.OnStaleList, if it is set.
func (e *Engine) reportStaleList() {
	if e.settings.OnStaleList != nil {
		e.settings.OnStaleList()
	}
}

// chooseTarget returns the index of a target, chosen in proportion to the weights; targets without any share the
// requests equally. Multiples of the golden ratio modulo 1 are spread evenly, so every short run of
// requests keeps to the weights as well.
func (e *Engine) chooseTarget(entry *directory.Entry) int {
	if len(entry.Targets) == 1 {
		return 0
	}

	const goldenRatio = 0.6180339887498949

	weight := func(i int) float64 { return entry.Targets[i].Weight }

	var total float64
	for i := range entry.Targets {
		total += weight(i)
	}

	if total == 0 {
		weight, total = func(int) float64 { return 1 }, float64(len(entry.Targets))
	}

	position := float64(e.splitSeq.Add(1)) * goldenRatio
	rest := (position - float64(uint64(position))) * total
	chosen := 0

	// Rounding may leave a rest after the last target: it is that of the last one with a weight.
	for i := range entry.Targets {
		if weight(i) == 0 {
			continue
		}

		chosen = i

		if rest -= weight(i); rest < 0 {
			break
		}
	}

	return chosen
}

// delayer returns the hedging delays of a route.
func (e *Engine) delayer(route string) *hedging.Delayer {
	e.mu.Lock()
	defer e.mu.Unlock()

	d, ok := e.delayers[route]
	if !ok {
		d = &hedging.Delayer{Quantile: hedgeQuantile}
		e.delayers[route] = d
	}

	return d
}

// poolBudget is the budget of extra attempts at one pool. gathered and direct say
// which kinds of routes use it.
type poolBudget struct {
	*budget.Window
	gathered, direct bool
}

// share returns this instance's share of the pool's slack: the lesser one if routes
// of both kinds use the pool.
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

// poolBudget returns the budget of a pool and records that a route of the given kind
// uses it.
func (e *Engine) poolBudget(pool string, gathered bool) *budget.Window {
	e.mu.Lock()
	defer e.mu.Unlock()

	p := e.budgetOf(pool)

	if used := p.gathered && gathered || p.direct && !gathered; !used {
		p.gathered, p.direct = p.gathered || gathered, p.direct || !gathered
		p.SetLimit(e.settings.ExtraAttempts, p.share(e.shares))
	}

	return p.Window
}

// budgetOf returns the budget of a pool; the caller holds mu.
func (e *Engine) budgetOf(pool string) *poolBudget {
	p, ok := e.budgets[pool]
	if !ok {
		p = &poolBudget{Window: budget.NewWindow(e.started)}
		e.budgets[pool] = p
	}

	return p
}

// BudgetUses returns what the pools with extra attempts have used of their budgets.
func (e *Engine) BudgetUses() map[string]budget.Use {
	e.mu.Lock()
	defer e.mu.Unlock()

	now, out := time.Now(), make(map[string]budget.Use)

	for pool, p := range e.budgets {
		if u := p.Use(now); slices.ContainsFunc(u.Extras, func(n uint32) bool { return n > 0 }) {
			out[pool] = u
		}
	}

	return out
}

// TakeOverBudgets counts what another instance has used as if a predecessor of this process had.
func (e *Engine) TakeOverBudgets(uses map[string]budget.Use) {
	e.mu.Lock()
	defer e.mu.Unlock()

	now := time.Now()

	for pool, u := range uses {
		p := e.budgetOf(pool)
		if !p.gathered && !p.direct {
			// The window needs its length; no route has used it.
			p.SetLimit(e.settings.ExtraAttempts, 0)
		}

		p.TakeOver(now, u)
	}
}

// SetExtraAttempts replaces the limit on retries and hedges of each pool.
func (e *Engine) SetExtraAttempts(l budget.Limit) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.settings.ExtraAttempts = l
	e.updateLimits()
}

// SetShares replaces the shares of common budgets that this instance may spend.
func (e *Engine) SetShares(s Shares) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.shares = s
	e.updateLimits()
}

// updateLimits applies the settings and shares to all budgets; the caller holds mu.
func (e *Engine) updateLimits() {
	for _, p := range e.budgets {
		p.SetLimit(e.settings.ExtraAttempts, p.share(e.shares))
	}
}

// shardBudgets implements scatter.Budget with the budget of the pool of each shard.
type shardBudgets []*budget.Window

func (e *Engine) shardBudgets(t *directory.Target, gathered bool) shardBudgets {
	b := make(shardBudgets, len(t.Pools))
	for i, p := range t.Pools {
		b[i] = e.poolBudget(p, gathered)
	}

	return b
}

// Fill counts one request for each pool.
func (b shardBudgets) Fill(int, uint32) {
	now := time.Now()
	for _, w := range b {
		w.Request(now)
	}
}

// Take spends one extra attempt of the shard's budget, if it allows one.
func (b shardBudgets) Take(shard uint32, _ budget.Kind) bool { return b[shard].Take(time.Now()) }

// Return refunds an attempt that didn't reach its searcher.
func (b shardBudgets) Return(shard uint32) { b[shard].Return(time.Now()) }

// Move counts an attempt that was taken at one time at a later one.
func (b shardBudgets) Move(shard uint32, from, to time.Time) { b[shard].Move(from, to) }

// Level returns the unspent part of the shard's budget, 0 to 1.
func (b shardBudgets) Level(shard uint32) float64 { return b[shard].Level(time.Now()) }

// Observe records the outcome of an attempt at the shard.
func (b shardBudgets) Observe(shard uint32, answered bool) { b[shard].Observe(time.Now(), answered) }

// Insufficient reports whether the shard's budget is too low for one more request, if
// at most the share missing of such requests may end without the shard's answer.
func (b shardBudgets) Insufficient(shard uint32, missing float64) bool {
	return b[shard].Insufficient(time.Now(), missing)
}
