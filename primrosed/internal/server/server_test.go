package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"go.uber.org/dig"
	"go.uber.org/goleak"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
	"primrosespring.example/internal/loopback"
	"primrosespring.example/internal/refusal"
	"primrosespring.example/primrosed/internal/settings"
)

// waitLimit bounds each wait for a condition, far above what it takes.
const waitLimit = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePlatform is a platform whose store has one object.
type fakePlatform struct {
	mu      sync.Mutex // Guards the fields below.
	version uint64
	value   []byte
	down    bool
	entered chan struct{} // If set, each write sends to it and waits for release.
	release chan struct{}
}

func (s *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, entered := s.down, s.entered
	s.mu.Unlock()

	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)

		return
	}

	if !strings.HasPrefix(r.URL.Path, "/v1/objects/configuration/") {
		w.Header().Set("ETag", `"1"`)
		_, _ = io.WriteString(w, `{"instances":[]}`)

		return
	}

	if r.Method == http.MethodPut && entered != nil {
		entered <- struct{}{}
		<-s.release
	}

	after, err := strconv.ParseUint(r.URL.Query().Get("watch_after"), 10, 64)
	if watching := err == nil; watching && !s.awaitVersion(r.Context(), after) {
		w.WriteHeader(http.StatusNotModified)

		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if r.Method == http.MethodPut {
		if r.Header.Get("If-Match") != strconv.Quote(strconv.FormatUint(s.version, 10)) {
			w.WriteHeader(http.StatusPreconditionFailed)

			return
		}

		s.value, _ = io.ReadAll(r.Body)
		s.version++
	}

	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(s.version, 10)))

	if s.version == 0 {
		w.WriteHeader(http.StatusNotFound)

		return
	}

	_, _ = w.Write(s.value)
}

// awaitVersion waits up to 500 ms for a version above after, and reports whether
// there is one.
func (s *fakePlatform) awaitVersion(ctx context.Context, after uint64) bool {
	timeout := time.After(500 * time.Millisecond)

	for {
		s.mu.Lock()
		version := s.version
		s.mu.Unlock()

		if version > after {
			return true
		}

		select {
		case <-ctx.Done():
			return false
		case <-timeout:
			return false
		case <-time.After(5 * time.Millisecond):
		}
	}
}

type testInstance struct {
	settings settings.Settings
	stop     context.CancelFunc
	done     chan struct{}
	client   *http.Client
}

// ports hands out ports outside the range of outgoing connections, each once: a
// port chosen by the kernel may be in use again before the instance listens.
var ports = loopback.NewPorts(0)

func freeAddress(t *testing.T) string {
	t.Helper()

	a, err := ports.Address()
	require.NoError(t, err)

	return a
}

func startInstance(t *testing.T, id, platform string, seeds ...string) *testInstance {
	t.Helper()

	s := settings.Settings{
		ID: id, FailureDomain: "a", Region: "region", PlatformAddress: platform, Seeds: seeds,
		CallerAddress: freeAddress(t), OperatorAddress: freeAddress(t), PeerAddress: freeAddress(t),
		HealthAddress: freeAddress(t), DebugAddress: freeAddress(t),
		Log: settings.Log{Level: "info"}, Stop: settings.Stop{BalancerDelayMS: 300, MaxWaitMS: 20000},
	}
	require.NoError(t, s.Validate())

	c := dig.New()
	require.NoError(t, provide(c, s, io.Discard))

	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{}
	r := &testInstance{settings: s, stop: cancel, done: make(chan struct{}), client: &http.Client{Transport: transport}}

	go func() {
		defer close(r.done)

		if err := c.Invoke(func(i *Instance) error { return i.Run(ctx) }); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-r.done
		transport.CloseIdleConnections()
	})

	return r
}

func (r *testInstance) ready() string {
	resp, err := r.client.Get("http://" + r.settings.HealthAddress + "/readyz")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()

	body, _ := io.ReadAll(resp.Body)

	return strings.TrimSpace(string(body))
}

func (r *testInstance) admin() primrosespringv1connect.AdminServiceClient {
	return primrosespringv1connect.NewAdminServiceClient(r.client, "http://"+r.settings.OperatorAddress)
}

func (r *testInstance) setMember(weight uint32) (uint64, error) {
	resp, err := r.admin().SetMember(context.Background(), &pb.SetMemberRequest{
		Member: &pb.Member{Name: "member", Weight: weight}, Options: &pb.ChangeOptions{ChangeId: uuid.NewString(), Operator: "test"},
	})

	return resp.GetResult().GetConfigurationVersion(), err
}

func (r *testInstance) version() uint64 {
	resp, err := r.admin().GetConfiguration(context.Background(), &pb.GetConfigurationRequest{})
	if err != nil {
		return 0
	}

	return resp.GetVersion()
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, waitLimit, 10*time.Millisecond, what)
}

func servePlatform(t *testing.T, s *fakePlatform) string {
	t.Helper()

	h := httptest.NewServer(s)
	t.Cleanup(h.Close)

	return strings.TrimPrefix(h.URL, "http://")
}

// Guards against an instance that reports ready without a configuration, one that
// needs the store although a peer has the configuration, and a change that is
// accepted while the store is down.
func TestStartWithTheStoreDown(t *testing.T) {
	s := &fakePlatform{}
	address := servePlatform(t, s)
	first := startInstance(t, "entry-0", address)
	eventually(t, "the first instance is ready", func() bool { return first.ready() == "ready" })

	version, err := first.setMember(7)
	require.NoError(t, err)
	require.Equal(t, uint64(1), version)

	s.mu.Lock()
	s.down = true
	s.mu.Unlock()

	second := startInstance(t, "entry-1", address, first.settings.PeerAddress)
	eventually(t, "the second instance is ready", func() bool { return second.ready() == "ready" })
	require.Equal(t, uint64(1), second.version())

	isolated := startInstance(t, "entry-2", address)
	eventually(t, "an instance without store or peer reports why it isn't ready", func() bool {
		return isolated.ready() == "no configuration from the store or a peer yet"
	})

	_, err = second.setMember(8)
	require.ErrorContains(t, err, "platform")

	s.mu.Lock()
	s.down = false
	s.mu.Unlock()

	eventually(t, "the isolated instance is ready once the store recovers", func() bool { return isolated.ready() == "ready" })

	// A change also reaches an instance without a session with the changing one,
	// through the store.
	eventually(t, "the store accepts changes again", func() bool { _, err := second.setMember(9); return err == nil })

	for _, r := range []*testInstance{first, second, isolated} {
		eventually(t, "the change is in force", func() bool { return r.version() >= 2 })
	}
}

// Guards against a graceful shutdown that interrupts a request, reports not ready
// too late or keeps callers' connections open, and, by goleak, against goroutines
// that outlive the instance.
func TestGracefulShutdown(t *testing.T) {
	s := &fakePlatform{}
	r := startInstance(t, "entry-0", servePlatform(t, s))
	eventually(t, "the instance is ready", func() bool { return r.ready() == "ready" })

	_, err := r.setMember(1)
	require.NoError(t, err)

	watch, err := r.admin().WatchConfiguration(context.Background(), &pb.WatchConfigurationRequest{})
	require.NoError(t, err)

	s.mu.Lock()
	s.entered, s.release = make(chan struct{}), make(chan struct{})
	s.mu.Unlock()

	release := sync.OnceFunc(func() { close(s.release) })
	t.Cleanup(release)

	answered := make(chan error, 1)

	go func() {
		_, err := r.setMember(2)
		answered <- err
	}()

	<-s.entered
	r.stop()
	eventually(t, "the instance reports stopping to the balancer", func() bool { return r.ready() == "stopping" })

	// Requests are still accepted, and their connections closed afterwards.
	resp, err := r.client.Post(fmt.Sprintf("http://%s%s", r.settings.OperatorAddress,
		primrosespringv1connect.AdminServiceGetConfigurationProcedure), "application/json", strings.NewReader("{}"))
	require.NoError(t, err)
	require.True(t, resp.Close, "the connection is to be closed")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())

	eventually(t, "the instance accepts no new connections", func() bool {
		conn, err := net.Dial("tcp", r.settings.OperatorAddress)
		if err == nil {
			_ = conn.Close()
		}

		return err != nil
	})
	release()
	require.NoError(t, <-answered, "the request in progress must finish")

	for watch.Receive() {
		require.NotNil(t, watch.Msg())
	}

	require.NoError(t, watch.Close())
	<-r.done
}

// Guards against an instance that doesn't serve gRPC clients, and against a
// refusal that loses its code and fate over gRPC.
func TestGRPCClient(t *testing.T) {
	r := startInstance(t, "entry-0", servePlatform(t, &fakePlatform{}))
	eventually(t, "the instance is ready", func() bool { return r.ready() == "ready" })

	var protocols http.Protocols

	protocols.SetUnencryptedHTTP2(true)

	transport := &http.Transport{Protocols: &protocols}
	t.Cleanup(transport.CloseIdleConnections)

	client := primrosespringv1connect.NewSearchServiceClient(
		&http.Client{Transport: transport}, "http://"+r.settings.CallerAddress, connect.WithGRPC())

	_, err := client.Search(t.Context(), &pb.SearchRequest{Service: "nobody"})
	e := refusal.FromConnect(err, "search", "entry-0")
	require.Equal(t, domain.CodeNotFound, e.Code)
	require.Equal(t, domain.FateNotRun, e.Fate)
}
