package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"

	"primrosespring.example/internal/coverage"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
	"primrosespring.example/internal/integrity"
	"primrosespring.example/internal/refusal"
	"primrosespring.example/primrosefake/internal/workload"
)

const (
	statusInterval = 500 * time.Millisecond
	statusTimeout  = 400 * time.Millisecond
	// firstAttemptDivisor divides the request's timeout for the first attempt.
	firstAttemptDivisor = 2
)

// baseline is a plain client: for each shard it asks one searcher at random
// and, after a failure or half of the timeout, one other.
type baseline struct {
	workload *workload.Workload
	services map[string][][]*searcherClient
	stop     context.CancelFunc
	done     sync.WaitGroup

	mu   sync.Mutex // Guards the fields below.
	rand *rand.Rand
	held map[string]domain.Snapshot // The newest one reported, by searcher id.
}

// searcherClient is one searcher with its connection.
type searcherClient struct {
	address   workload.SearcherAddress
	transport *http.Transport
	rpc       primrosespringv1connect.SearcherServiceClient
}

func newBaseline(ctx context.Context, w *workload.Workload, t *workload.Topology) *baseline {
	ctx, stop := context.WithCancel(ctx)
	b := &baseline{
		workload: w, services: make(map[string][][]*searcherClient), stop: stop,
		rand: rand.New(rand.NewPCG(w.Seed, baselineStream)), held: make(map[string]domain.Snapshot),
	}

	for _, s := range t.Services {
		shards := make([][]*searcherClient, len(s.Shards))

		for i, searchers := range s.Shards {
			for _, a := range searchers {
				tr := newTransport()
				shards[i] = append(shards[i], &searcherClient{
					address: a, transport: tr,
					rpc: primrosespringv1connect.NewSearcherServiceClient(
						&http.Client{Transport: tr}, "http://"+a.Address, connect.WithReadMaxBytes(maxAnswerBytes)),
				})
			}
		}

		b.services[s.Name] = shards
	}

	b.done.Go(func() { b.pollStatus(ctx) })

	return b
}

func (b *baseline) close() {
	b.stop()
	b.done.Wait()

	b.forEach(func(sc *searcherClient) { sc.transport.CloseIdleConnections() })
}

func (b *baseline) forEach(f func(*searcherClient)) {
	for _, shards := range b.services {
		for _, searchers := range shards {
			for _, sc := range searchers {
				f(sc)
			}
		}
	}
}

// pollStatus polls the searchers for the newest snapshot that each holds.
func (b *baseline) pollStatus(ctx context.Context) {
	t := time.NewTicker(statusInterval)
	defer t.Stop()

	for {
		pctx, cancel := context.WithTimeout(ctx, statusTimeout)

		var wg sync.WaitGroup

		b.forEach(func(sc *searcherClient) { wg.Go(func() { b.poll(pctx, sc) }) })
		wg.Wait()
		cancel()

		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *baseline) poll(ctx context.Context, sc *searcherClient) {
	st, err := sc.rpc.GetStatus(ctx, &pb.GetStatusRequest{})
	if err != nil {
		return
	}

	var newest domain.Snapshot

	for _, h := range st.GetHeld() {
		s := domain.Snapshot{
			IndexVersion: h.GetSnapshot().GetIndexVersion(), PartitionMapVersion: h.GetSnapshot().GetPartitionMapVersion(),
		}
		if h.GetService() == sc.address.Service && h.GetShard() == sc.address.Shard && s.Newer(newest) {
			newest = s
		}
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	b.held[sc.address.ID] = newest
}

// commonSnapshot returns the oldest of the newest snapshots that the searchers of
// the service last reported, so that each of them can be expected to hold it.
func (b *baseline) commonSnapshot(service string) domain.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()

	var oldest domain.Snapshot

	for _, shards := range b.services[service] {
		for _, sc := range shards {
			s, ok := b.held[sc.address.ID]
			if ok && (oldest == (domain.Snapshot{}) || oldest.Newer(s)) {
				oldest = s
			}
		}
	}

	return oldest
}

// randomOrder returns the searchers of a shard in random order.
func (b *baseline) randomOrder(service string, shard uint32) []*searcherClient {
	b.mu.Lock()
	defer b.mu.Unlock()

	searchers := b.services[service][shard]
	out := make([]*searcherClient, len(searchers))

	for i, j := range b.rand.Perm(len(searchers)) {
		out[i] = searchers[j]
	}

	return out
}

// shardOutcome is the outcome of one shard.
type shardOutcome struct {
	hits     []*pb.Hit
	result   string
	attempts uint32
	err      error
}

func (b *baseline) search(ctx context.Context, _ int, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetTimeoutMs())*time.Millisecond)
	defer cancel()

	firstTimeout := time.Duration(req.GetTimeoutMs()) * time.Millisecond / firstAttemptDivisor
	snap := b.commonSnapshot(req.GetService())
	parts := make([]shardOutcome, len(b.services[req.GetService()]))

	var wg sync.WaitGroup

	for i := range parts {
		wg.Go(func() {
			parts[i] = b.runShard(ctx, firstTimeout, &pb.RunRequest{
				Service: req.GetService(), QueryId: req.GetRequestId(), Shard: uint32(i), Query: req.GetQuery(),
				Snapshot: &pb.Snapshot{IndexVersion: snap.IndexVersion, PartitionMapVersion: snap.PartitionMapVersion},
			})
		})
	}

	wg.Wait()

	return b.combine(req, snap, parts)
}

func (b *baseline) combine(req *pb.SearchRequest, snap domain.Snapshot, parts []shardOutcome) (*pb.SearchResponse, error) {
	resp := &pb.SearchResponse{
		RequestId: req.GetRequestId(), Coverage: &pb.Coverage{Shards: uint32(len(parts))},
		Snapshot: &pb.Snapshot{IndexVersion: snap.IndexVersion, PartitionMapVersion: snap.PartitionMapVersion},
	}

	for i, p := range parts {
		resp.Attempts += p.attempts

		if p.err != nil {
			resp.Coverage.Missing = append(resp.Coverage.Missing, &pb.MissingShard{Shard: uint32(i), Reason: "failed"})

			continue
		}

		resp.Coverage.Included = append(resp.Coverage.Included, uint32(i))
		resp.Results = append(resp.Results, &pb.ShardResult{Shard: uint32(i), Hits: p.hits})
	}

	s, _ := b.workload.Service(req.GetService())

	c := coverage.Coverage{Shards: uint32(len(parts)), Included: resp.GetCoverage().GetIncluded()}
	if !coverage.Accepts(s.Rules, c) {
		return nil, refusal.ToConnect(domain.Errorf(domain.FateRan, domain.CodeCoverage, "search",
			"%d of %d shards answered", len(c.Included), c.Shards))
	}

	return resp, nil
}

// execute sends a request to one shard, chosen by the request's number, like any
// sub-query, with the one retry that may run it twice.
func (b *baseline) execute(ctx context.Context, n, _ int, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetTimeoutMs())*time.Millisecond)
	defer cancel()

	firstTimeout := time.Duration(req.GetTimeoutMs()) * time.Millisecond / firstAttemptDivisor
	snap := b.commonSnapshot(req.GetService())
	p := b.runShard(ctx, firstTimeout, &pb.RunRequest{
		Service: req.GetService(), QueryId: strconv.Itoa(n), Key: req.GetKey(), Payload: req.GetPayload(),
		Shard:    uint32(n % len(b.services[req.GetService()])),
		Snapshot: &pb.Snapshot{IndexVersion: snap.IndexVersion, PartitionMapVersion: snap.PartitionMapVersion},
	})

	if p.err != nil {
		return nil, p.err
	}

	return &pb.ExecuteResponse{Key: req.GetKey(), Result: p.result}, nil
}

// runShard asks one searcher and, after a failure or firstTimeout, one other.
func (b *baseline) runShard(ctx context.Context, firstTimeout time.Duration, req *pb.RunRequest) shardOutcome {
	order := b.randomOrder(req.GetService(), req.GetShard())
	p := shardOutcome{err: errors.New("no searcher")}

	for i, sc := range order[:min(2, len(order))] {
		actx, cancel := ctx, context.CancelFunc(func() {})
		if i == 0 {
			actx, cancel = context.WithTimeout(ctx, firstTimeout)
		}

		resp, err := b.attempt(actx, sc, req, uint32(i))

		cancel()

		p.attempts++
		p.err = err

		if err == nil {
			p.hits, p.result = resp.GetHits(), resp.GetResult()

			break
		}
	}

	return p
}

func (b *baseline) attempt(ctx context.Context, sc *searcherClient, req *pb.RunRequest, n uint32) (*pb.RunResponse, error) {
	r := &pb.RunRequest{
		Service: req.GetService(), QueryId: req.GetQueryId(), Attempt: n, Shard: req.GetShard(), Snapshot: req.GetSnapshot(),
		Query: req.GetQuery(), Key: req.GetKey(), Payload: req.GetPayload(),
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.TimeoutUs = uint64(max(time.Until(deadline), 0).Microseconds())
	}

	resp, err := sc.rpc.Run(ctx, r)
	if err != nil {
		return nil, err
	}

	if e := integrity.CheckAnswer(r, resp); e != nil {
		return nil, e
	}

	return resp, nil
}
