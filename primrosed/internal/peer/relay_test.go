// Tests of relayed requests and forwarded claims.

package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"primrosespring.example/internal/claims"
	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosed/internal/frame"
)

func searchRequest(id string) *pb.SearchRequest {
	return &pb.SearchRequest{Service: "service", RequestId: id}
}

// Guards against a relayed query that ignores the time left, the sender's
// configuration version or its request id.
func TestRelayedSearch(t *testing.T) {
	type observed struct {
		left    time.Duration
		version uint64
	}

	got := make(chan observed, 1)
	holder := start(t, "entry-0", "a", func(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error) {
		d, _ := ctx.Deadline()
		got <- observed{time.Until(d), cfg.Version}

		return echo(ctx, cfg, req)
	})
	other := start(t, "entry-1", "a", echo, holder)
	eventually(t, "both instances see each other", func() bool { return other.live() == 2 && holder.live() == 2 })

	// The change is in force only at the sender so far, and the relayed query may
	// reach the holder before the change does.
	other.change(t, 1)

	resp, err := other.RelaySearch(t.Context(), holder.instance, 1, 900*time.Millisecond, "q", searchRequest("r"))
	require.NoError(t, err)
	require.Equal(t, "r", resp.GetRequestId())

	s := <-got
	require.LessOrEqual(t, s.left, 900*time.Millisecond)
	require.Equal(t, uint64(1), s.version)
}

// Guards against a forwarded claim whose decision belongs to another operation.
func TestForwardedClaim(t *testing.T) {
	owner := start(t, "entry-0", "a", echo)
	other := start(t, "entry-1", "a", echo)
	key, err := claims.ParseKey("0190c7a0-0000-7000-8000-000000000001")
	require.NoError(t, err)

	result, err := other.ApplyClaim(t.Context(), owner.instance, claims.Operation{Key: key, ClaimID: "claim-7", Digest: 9})
	require.NoError(t, err)
	require.Equal(t, claims.Granted, result.Outcome)
	require.Equal(t, "claim-7", result.Claim.ClaimID)
}

// Guards against a failure before the request is sent that isn't reported as not
// run, and against corrupt answers or answers to another request that are accepted.
func TestRelayFailures(t *testing.T) {
	n := start(t, "entry-0", "a", echo)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	unreachable := domain.Instance{ID: "entry-8", PeerAddress: l.Addr().String(), FailureDomain: "a", Region: "region"}
	require.NoError(t, l.Close())

	_, err = n.RelaySearch(t.Context(), unreachable, 0, time.Second, "q", searchRequest("r"))

	var e *domain.Error

	require.ErrorAs(t, err, &e)
	require.Equal(t, domain.FateNotRun, e.Fate)
	require.Equal(t, domain.CodePeerUnavailable, e.Code)

	content, err := proto.Marshal(&pb.SearchResponse{RequestId: "r"})
	require.NoError(t, err)

	for name, corrupt := range map[string]func(f *pb.PeerFrame, a *pb.RelaySearchAnswer){
		"frame id": func(f *pb.PeerFrame, _ *pb.RelaySearchAnswer) { f.Id++ },
		"query id": func(_ *pb.PeerFrame, a *pb.RelaySearchAnswer) { a.QueryId = "q9" },
		"content":  func(_ *pb.PeerFrame, a *pb.RelaySearchAnswer) { a.Response = append(a.GetResponse(), 0x10, 1) },
		"request id": func(_ *pb.PeerFrame, a *pb.RelaySearchAnswer) {
			a.Response, _, a.Checksum = answerFields("q", nil, nil)
		},
	} {
		corruptPeer := fakePeer(t, "entry-7", func(s *session) {
			stream, err := s.mux.AcceptStream()
			if err != nil {
				return
			}

			f, err := frame.Read(stream, "entry-0", frame.MaxRelayBytes, nil)
			if err != nil {
				return
			}

			a := &pb.RelaySearchAnswer{QueryId: "q"}
			a.Response, _, a.Checksum = answerFields("q", append([]byte(nil), content...), nil)
			out := &pb.PeerFrame{Id: f.GetId(), Body: &pb.PeerFrame_RelaySearchAnswer{RelaySearchAnswer: a}}
			corrupt(out, a)

			_ = frame.Write(stream, out, frame.MaxRelayBytes)
			<-s.mux.CloseChan()
		})

		n.mu.Lock()
		old := n.relays[corruptPeer.ID]
		delete(n.relays, corruptPeer.ID)
		n.mu.Unlock()

		if old != nil {
			old.close()
		}

		_, err := n.RelaySearch(t.Context(), corruptPeer, 0, time.Second, "q", searchRequest("r"))
		require.ErrorAs(t, err, &e, name)
		require.Equal(t, domain.FateUnknown, e.Fate, name)
	}
}

// Guards against a non-repeatable request that is sent to a second holder although
// it may have run at the first.
func TestRelayedExecutionIsSentOnce(t *testing.T) {
	svc := domain.Service{
		Name: "service", Version: 1,
		Rules: domain.Rules{TimeoutMS: 5000, MaxAttempts: 2, MinCoveragePermille: 1000, NonRepeatable: true},
		PartitionMap: domain.PartitionMap{Version: 1, Shards: []domain.Shard{{Searchers: []domain.Searcher{
			{ID: "s", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 1, Connections: 3},
		}}}},
	}

	for fate, want := range map[domain.Fate]int64{domain.FateUnknown: 1, domain.FateRan: 1, domain.FateNotRun: 2} {
		var sent atomic.Int64

		failing := searchFunc(func(context.Context, *domain.Configuration, *pb.SearchRequest) (*pb.SearchResponse, error) {
			sent.Add(1)

			return nil, domain.Errorf(fate, domain.CodeStopping, "execute", "no")
		})
		first := start(t, "entry-0", "a", failing)
		instances := []*testInstance{first, start(t, "entry-1", "b", failing, first), start(t, "entry-2", "c", failing, first)}

		for _, n := range instances {
			eventually(t, "every instance sees all others", func() bool { return n.live() == 3 })
		}

		next, err := configuration.Apply(&configuration.Stored{}, configuration.Change{ID: "c", CreateService: &svc})
		require.NoError(t, err)
		first.options.Keeper.SetIfNewer(next)

		cfg := first.options.Keeper.Configuration()

		for _, n := range instances {
			eventually(t, "the service is in force", func() bool { return n.version() == 1 })

			r := NewRelay(zerolog.Nop(), n.Mesh, NewPlacement(zerolog.Nop(), n.options.Table), failing, failing)
			if r.placement.Holds(cfg, "service") {
				continue
			}

			_, err := r.Execute(t.Context(), cfg, &pb.ExecuteRequest{Service: "service", Key: "k"})

			var e *domain.Error

			require.ErrorAs(t, err, &e)
			require.Equal(t, fate, e.Fate)
			require.Equal(t, want, sent.Load(), fate.String())

			// No holder has read the claim, so an earlier request with the key may have run.
			_, err = r.Execute(t.Context(), cfg, &pb.ExecuteRequest{Service: "service", Key: "k", Repeated: true})
			require.ErrorAs(t, err, &e)

			if fate == domain.FateNotRun {
				require.Equal(t, domain.FateUnknown, e.Fate)
			} else {
				require.Equal(t, fate, e.Fate)
			}
		}

		for _, n := range instances {
			n.stop()
		}
	}
}

// Guards against an instance that runs requests of a service although others hold
// its connections, and against a query that fails because one holder has stopped.
func TestRelayGoesToAHolder(t *testing.T) {
	svc := domain.Service{
		Name: "service", Version: 1,
		Rules: domain.Rules{TimeoutMS: 5000, MaxAttempts: 2, MinCoveragePermille: 1000, Repeatable: true},
		PartitionMap: domain.PartitionMap{Version: 1, Shards: []domain.Shard{{Searchers: []domain.Searcher{
			// 80% of 3 connections leaves two holders.
			{ID: "s", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 1, Connections: 3},
		}}}},
	}
	instances := make(map[string]*testInstance)
	relays := make(map[string]*Relay)

	var first *testInstance

	for i, fd := range []string{"a", "b", "c", "a"} {
		id := fmt.Sprintf("entry-%d", i)
		local := searchFunc(func(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error) {
			resp, err := echo(ctx, cfg, req)
			resp.Instance = id

			return resp, err
		})

		var seeds []*testInstance
		if first != nil {
			seeds = append(seeds, first)
		}

		n := start(t, id, fd, local, seeds...)
		if first == nil {
			first = n
		}

		instances[id] = n
		relays[id] = NewRelay(zerolog.Nop(), n.Mesh, NewPlacement(zerolog.Nop(), n.options.Table), local, local)
	}

	for _, n := range instances {
		eventually(t, "every instance sees all others", func() bool { return n.live() == 4 })
	}

	next, err := configuration.Apply(&configuration.Stored{}, configuration.Change{ID: "c", CreateService: &svc})
	require.NoError(t, err)
	first.options.Keeper.SetIfNewer(next)

	for _, n := range instances {
		eventually(t, "the service is in force", func() bool { return n.version() == 1 })
	}

	cfg := first.options.Keeper.Configuration()
	holders := relays["entry-0"].placement.Holders(cfg, "service")
	require.Len(t, holders, 2)

	for id, r := range relays {
		resp, err := r.Search(t.Context(), cfg, searchRequest("r"))
		require.NoError(t, err)
		require.Contains(t, []string{holders[0].ID, holders[1].ID}, resp.GetInstance())

		executed, err := r.Execute(t.Context(), cfg, &pb.ExecuteRequest{Service: "service", Key: "k"})
		require.NoError(t, err)
		require.Contains(t, []string{holders[0].ID, holders[1].ID}, executed.GetInstance())

		if r.placement.Holds(cfg, "service") {
			require.Equal(t, id, resp.GetInstance())
			require.Equal(t, id, executed.GetInstance())
		}
	}

	// One holder stops: queries go to the other before the failure is detected.
	instances[holders[0].ID].stop()

	for id, r := range relays {
		if id == holders[0].ID {
			continue
		}

		resp, err := r.Search(t.Context(), cfg, searchRequest("r"))
		require.NoError(t, err)
		require.NotEqual(t, holders[0].ID, resp.GetInstance())
	}
}
