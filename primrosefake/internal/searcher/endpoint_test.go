package searcher

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
)

// connPair returns the searcher's and the caller's end of a connection.
func connPair(t *testing.T, e *Endpoint) (*conn, net.Conn) {
	t.Helper()

	searcherConn, callerConn := net.Pipe()
	c := e.add(searcherConn)
	require.NotNil(t, c)
	t.Cleanup(func() { _ = c.Close(); _ = callerConn.Close() })

	return c, callerConn
}

// readOne reads one byte in the background.
func readOne(c net.Conn) chan byte {
	got := make(chan byte, 1)

	go func() {
		b := make([]byte, 1)
		if n, _ := c.Read(b); n == 1 {
			got <- b[0]
		}
	}()

	return got
}

// Guards against a connection limit that is exceeded, and against closed or
// silent connections that count towards it.
func TestConnectionLimit(t *testing.T) {
	e := NewEndpoint(newServer(t, func(o *Options) { o.ConnectionLimit = 2 }))
	a, _ := connPair(t, e)
	connPair(t, e)
	require.Nil(t, e.add(nil))
	require.NoError(t, a.Close())
	connPair(t, e)
	e.silence()
	connPair(t, e)

	st := e.Stats()
	require.Equal(t, []int{1, 2, 4, 1}, []int{st.Connections, st.ConnectionsPeak, st.ConnectionsTotal, st.ConnectionsRefused})
}

// Guards against a new connection that is served before its set-up time is over.
func TestSetupTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEndpoint(newServer(t, func(o *Options) { o.SetupMS = 6 }))
		begin := time.Now()
		searcherConn, callerConn := connPair(t, e)
		got := readOne(searcherConn)
		_, err := callerConn.Write([]byte{1})
		require.NoError(t, err)
		<-got
		require.Equal(t, 6*time.Millisecond, time.Since(begin))
	})
}

// Guards against a silence that affects new connections or that lets data
// through, and against a freeze that loses the data sent during it.
func TestSilenceAndFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEndpoint(newServer(t, nil))
		old, oldCaller := connPair(t, e)
		e.silence()

		got, answered := readOne(old), readOne(oldCaller)
		_, err := oldCaller.Write([]byte{1})
		require.NoError(t, err)
		_, err = old.Write([]byte{2})
		require.NoError(t, err)
		synctest.Wait()
		require.Empty(t, got)
		require.Empty(t, answered)

		searcherConn, callerConn := connPair(t, e)
		e.setFrozen(true)

		got = readOne(searcherConn)
		_, err = callerConn.Write([]byte{3})
		require.NoError(t, err)
		synctest.Wait()
		require.Empty(t, got)
		e.setFrozen(false)
		require.EqualValues(t, 3, <-got)
	})
}

// Guards against a handler that serves Run differently from Connect's own, and
// against a searcher that doesn't listen again, or isn't cold, after the fault
// Refuse.
func TestServesEveryCodecAndListensAgain(t *testing.T) {
	e := NewEndpoint(newServer(t, func(o *Options) { o.MedianMS, o.ColdRequests = 0, 1 }))
	require.NoError(t, e.Listen())
	t.Cleanup(e.Close)

	var protocols http.Protocols

	protocols.SetUnencryptedHTTP2(true)

	transport := &http.Transport{Protocols: &protocols}
	t.Cleanup(transport.CloseIdleConnections)

	http1 := &http.Transport{}
	t.Cleanup(http1.CloseIdleConnections)

	// An empty list of interceptors leaves Connect's binary encoding. The last
	// client uses HTTP/1.
	for i, o := range []connect.ClientOption{
		connect.WithInterceptors(), connect.WithProtoJSON(), connect.WithGRPC(), connect.WithProtoJSON(),
	} {
		client := &http.Client{Transport: transport}
		if i == 3 {
			client.Transport = http1
		}

		c := primrosespringv1connect.NewSearcherServiceClient(client, "http://"+e.Address(), o)
		resp, err := c.Run(t.Context(), request("x"))
		require.NoError(t, err)
		require.Equal(t, "portal/0@1.1", resp.GetHits()[0].GetId())

		r := request("x")
		r.Shard = 9
		_, err = c.Run(t.Context(), r)
		requireRefusal(t, err, domain.FateNotRun, domain.CodeSnapshotGone)

		require.NoError(t, e.SetFaults(Faults{Refuse: true}))
		// A request on the closed connection may fail with another code than a new connection does.
		client.CloseIdleConnections()

		_, err = c.Run(t.Context(), request("x"))
		require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err), err)
		require.NoError(t, e.SetFaults(Faults{}))
		require.True(t, e.load().GetCold())
	}
}

// Guards against control calls that change searchers they don't select, and
// against refused ones that change something.
func TestControlSelectsSearchers(t *testing.T) {
	var f File

	require.NoError(t, json.Unmarshal([]byte(`{"defaults": {"slots": 3}, "searchers": [
		{"id": "a", "service": "portal"}, {"id": "b", "service": "portal", "shard": 1, "slots": 4}]}`), &f))

	g, err := NewGroup(f.Searchers)
	require.NoError(t, err)

	call := func(method, path, body string) string {
		w := httptest.NewRecorder()
		g.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))

		return strings.TrimSpace(w.Body.String())
	}
	slots := func() []int { return []int{g.endpoints[0].options.Load().Slots, g.endpoints[1].options.Load().Slots} }

	require.Equal(t, []int{3, 4}, slots())
	require.JSONEq(t, `{"searchers": 1}`, call(http.MethodPut, "/fake/options?shard=1", `{"slots": 5}`))
	require.Equal(t, "slots must be at least 1", call(http.MethodPut, "/fake/options", `{"slots": 0}`))
	require.Equal(t, []int{3, 5}, slots())
	require.Equal(t, "no searcher is selected", call(http.MethodPost, "/fake/drain?service=none", ""))
	require.JSONEq(t, `{"searchers": 1}`, call(http.MethodPost, "/fake/hold",
		`{"service": "portal", "shard": 1, "snapshots": [{"index_version": 7, "partition_map_version": 2}]}`))
	require.Contains(t, *g.endpoints[1].held.Load(), shardSnapshot{"portal", 1, domain.Snapshot{IndexVersion: 7, PartitionMapVersion: 2}})
	require.Len(t, *g.endpoints[0].held.Load(), 1)
}
