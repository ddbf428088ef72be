// Package searcher speaks to searchers. A Pool keeps the connections to them,
// HTTP/2 without TLS, so that a cancelled request resets its stream and leaves
// the connection in use.
package searcher

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"primrosespring.example/internal/coverage"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
	"primrosespring.example/internal/refusal"
)

const (
	dialTimeout = time.Second
	// maxAnswerBytes bounds what one answer may hold.
	maxAnswerBytes = 4 << 20
)

// Pool holds one client for each searcher address. Its zero value is ready to
// use, and it is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex // Guards clients.
	clients map[string]*client
}

type client struct {
	transport *http.Transport
	rpc       primrosespringv1connect.SearcherServiceClient
}

// Run sends one attempt and returns its checked answer. The time left of ctx
// goes along.
func (p *Pool) Run(ctx context.Context, sr *domain.Searcher, req *pb.RunRequest) (*pb.RunResponse, error) {
	if deadline, ok := ctx.Deadline(); ok {
		req.TimeoutUs = uint64(max(time.Until(deadline), 0).Microseconds())
	}

	resp, err := p.client(sr).rpc.Run(ctx, req)
	if err != nil {
		return nil, refusal.FromConnect(err, "run sub-query", sr.ID)
	}

	if err := coverage.Check(req, resp); err != nil {
		p.drop(sr)

		return nil, err.WithPeer(sr.ID)
	}

	return resp, nil
}

// Status returns the searcher's word on itself.
func (p *Pool) Status(ctx context.Context, sr *domain.Searcher) (*pb.GetStatusResponse, error) {
	resp, err := p.client(sr).rpc.GetStatus(ctx, &pb.GetStatusRequest{})
	if err != nil {
		return nil, refusal.FromConnect(err, "get status", sr.ID)
	}

	return resp, nil
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, c := range p.clients {
		c.transport.CloseIdleConnections()
	}
}

func (p *Pool) client(sr *domain.Searcher) *client {
	p.mu.Lock()
	defer p.mu.Unlock()

	if c, ok := p.clients[sr.Address]; ok {
		return c
	}

	if p.clients == nil {
		p.clients = make(map[string]*client)
	}

	c := newClient(sr.Address)
	p.clients[sr.Address] = c

	return c
}

// drop closes the connections to a searcher once their requests have ended;
// the next request opens new ones.
func (p *Pool) drop(sr *domain.Searcher) {
	p.mu.Lock()
	c := p.clients[sr.Address]
	delete(p.clients, sr.Address)
	p.mu.Unlock()

	if c != nil {
		c.transport.CloseIdleConnections()
	}
}

func newClient(address string) *client {
	var protocols http.Protocols

	protocols.SetUnencryptedHTTP2(true)

	t := &http.Transport{
		Protocols:   &protocols,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}

	return &client{
		transport: t,
		rpc: primrosespringv1connect.NewSearcherServiceClient(
			&http.Client{Transport: t}, "http://"+address, connect.WithReadMaxBytes(maxAnswerBytes)),
	}
}
