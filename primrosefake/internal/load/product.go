package load

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
)

const (
	dialTimeout    = time.Second
	maxAnswerBytes = 4 << 20
)

// system is what the load is sent to: the product or the baseline. n is the
// number of the request; try counts its repeats, from 0.
type system interface {
	search(ctx context.Context, n int, req *pb.SearchRequest) (*pb.SearchResponse, error)
	execute(ctx context.Context, n, try int, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error)
	close()
}

// productClient sends requests to the product over a fixed number of connections to
// each address.
type productClient struct {
	transports []*http.Transport
	// clients are ordered so that consecutive ones have different addresses.
	clients []primrosespringv1connect.SearchServiceClient
}

func newProductClient(addresses []string, connections uint32) *productClient {
	c := &productClient{}

	for range connections {
		for _, a := range addresses {
			t := newTransport()
			c.transports = append(c.transports, t)
			c.clients = append(c.clients, primrosespringv1connect.NewSearchServiceClient(
				&http.Client{Transport: t}, "http://"+a, connect.WithReadMaxBytes(maxAnswerBytes)))
		}
	}

	return c
}

// newTransport returns a transport that keeps one connection, HTTP/2 without
// TLS.
func newTransport() *http.Transport {
	var protocols http.Protocols

	protocols.SetUnencryptedHTTP2(true)

	return &http.Transport{Protocols: &protocols, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
}

// search sends a query. If an address refuses the connection, it tries the next.
func (c *productClient) search(ctx context.Context, n int, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	for i := range c.clients {
		resp, err := c.clients[(n+i)%len(c.clients)].Search(ctx, req)
		if err == nil || classify(ctx, err).code != codeUnreachable || i == len(c.clients)-1 {
			return resp, err
		}
	}

	return nil, nil //nolint:nilnil // There is at least one client, so the loop returns.
}

func (c *productClient) execute(ctx context.Context, n, try int, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	for i := range c.clients {
		resp, err := c.clients[(n+try+i)%len(c.clients)].Execute(ctx, req)
		if err == nil || classify(ctx, err).code != codeUnreachable || i == len(c.clients)-1 {
			return resp, err
		}
	}

	return nil, nil //nolint:nilnil // There is at least one client, so the loop returns.
}

func (c *productClient) close() {
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}
