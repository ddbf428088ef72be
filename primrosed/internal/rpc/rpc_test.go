package rpc

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
	"primrosespring.example/internal/memory"
	"primrosespring.example/internal/refusal"
)

const testLimit = 1000

// serve starts a service without methods: a request that passes the checks is
// answered as unimplemented.
func serve(t *testing.T, bodies *memory.Budget) *httptest.Server {
	t.Helper()

	path, h := primrosespringv1connect.NewSearchServiceHandler(
		primrosespringv1connect.UnimplementedSearchServiceHandler{}, Options(testLimit))
	mux := http.NewServeMux()
	mux.Handle(path, LimitBody(testLimit, bodies, h))

	s := httptest.NewUnstartedServer(mux)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetHTTP1(true)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(s.Close)

	return s
}

func compress(t *testing.T, s string) string {
	t.Helper()

	var b bytes.Buffer

	w := gzip.NewWriter(&b)
	_, err := io.WriteString(w, s)
	require.NoError(t, err)
	require.NoError(t, w.Close())

	return b.String()
}

// Guards against a misspelt field that is silently ignored, and against an
// oversized request that is refused with status 429, which makes clients retry
// it.
func TestBadRequestsAreInvalid(t *testing.T) {
	s := serve(t, nil)
	atLimit := `{"service":"` + strings.Repeat("s", testLimit-len(`{"service":""}`)) + `"}`

	for name, c := range map[string]struct {
		body, encoding string
		status         int
		contains       string
	}{
		"accepted":              {body: `{"service":"a"}`, status: http.StatusNotImplemented, contains: "unimplemented"},
		"at the limit":          {body: atLimit, status: http.StatusNotImplemented, contains: "unimplemented"},
		"compressed, at limit":  {body: compress(t, atLimit), encoding: "gzip", status: http.StatusNotImplemented, contains: "unimplemented"},
		"unknown field":         {body: `{"service":"a","dead_line":1}`, status: http.StatusBadRequest, contains: "dead_line"},
		"empty body":            {body: ``, status: http.StatusBadRequest, contains: "invalid_argument"},
		"too large":             {body: `{"service":"` + strings.Repeat("s", 10<<20) + `"}`, status: http.StatusBadRequest, contains: "more than 1000 bytes"},
		"compressed, too large": {body: compress(t, atLimit+" "), encoding: "gzip", status: http.StatusBadRequest, contains: "more than 1000 bytes"},
		"compressed, broken":    {body: "broken", encoding: "gzip", status: http.StatusBadRequest, contains: "invalid_argument"},
	} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
				s.URL+primrosespringv1connect.SearchServiceSearchProcedure, strings.NewReader(c.body))
			require.NoError(t, err)
			req.Header.Set("Content-Type", "application/json")

			if c.encoding != "" {
				req.Header.Set("Content-Encoding", c.encoding)
			}

			resp, err := s.Client().Do(req)
			require.NoError(t, err)

			defer func() { _ = resp.Body.Close() }()

			answer, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, c.status, resp.StatusCode, "%s", answer)
			require.Contains(t, string(answer), c.contains)
		})
	}
}

// Guards against an oversized request whose code and fate don't reach Connect
// and gRPC clients.
func TestTooLargeIsATypedRefusal(t *testing.T) {
	s := serve(t, nil)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)

	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)

	for name, options := range map[string][]connect.ClientOption{
		"connect": nil, "connect compressed": {connect.WithSendGzip()},
		"grpc": {connect.WithGRPC()}, "grpc compressed": {connect.WithGRPC(), connect.WithSendGzip()},
	} {
		t.Run(name, func(t *testing.T) {
			c := primrosespringv1connect.NewSearchServiceClient(&http.Client{Transport: transport}, s.URL, options...)
			_, err := c.Search(t.Context(), &pb.SearchRequest{Service: strings.Repeat("s", testLimit+envelopeBytes)})
			e := refusal.FromConnect(err, "search", "entry-0")
			require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err), "%v", err)
			require.Equal(t, domain.CodeInvalid, e.Code)
			require.Equal(t, domain.FateNotRun, e.Fate)
		})
	}
}

// Guards against callers that decide together how much memory their bodies take: one that
// finds none left is refused as not run, and what it held is returned.
func TestBodiesShareOneBound(t *testing.T) {
	bodies := &memory.Budget{Max: testLimit}
	s := serve(t, bodies)
	c := primrosespringv1connect.NewSearchServiceClient(s.Client(), s.URL)
	req := &pb.SearchRequest{Service: strings.Repeat("s", testLimit/2)}

	require.True(t, bodies.Reserve(testLimit/2))

	_, err := c.Search(t.Context(), req)
	e := refusal.FromConnect(err, "search", "instance")
	require.Equal(t, domain.CodeOverloaded, e.Code)
	require.Equal(t, domain.FateNotRun, e.Fate)
	require.EqualValues(t, testLimit/2, bodies.Used())

	bodies.Release(testLimit / 2)

	_, err = c.Search(t.Context(), req)
	require.Equal(t, connect.CodeUnimplemented, connect.CodeOf(err))
	require.Zero(t, bodies.Used())
}
