package replica

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/follower"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/http1"
	"primrosespring.example/internal/jsonlist"
	"primrosespring.example/internal/memory"
	"primrosespring.example/primrosed/internal/frame"
	"primrosespring.example/primrosed/internal/mux"
)

// Client fetches copies from other instances. It is safe for concurrent use.
type Client struct {
	log    zerolog.Logger
	self   string
	dial   http1.DialFunc
	frames *memory.Budget

	mu sync.Mutex // Guards the fields below.
	// Peer addresses: seeds are from the settings, listed from the list of instances,
	// and requesters have asked this instance, the latest last.
	seeds, listed, requesters []string
}

// NewClient returns a client of the instance with the peer address self. frames bounds the
// copies that are being read; nil sets no bound.
func NewClient(log zerolog.Logger, self string, dial http1.DialFunc, frames *memory.Budget, seeds []string) *Client {
	return &Client{log: log, self: self, dial: dial, frames: frames, seeds: seeds}
}

// SetSeeds replaces the peer addresses that the settings name.
func (c *Client) SetSeeds(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.seeds = addresses
}

// SetInstances replaces the peer addresses of the listed instances.
func (c *Client) SetInstances(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.listed = addresses
}

// Instances returns the peer addresses of the other instances, in a slice of its own: of those
// listed, or that the settings name if there is no list yet, and of those that have asked.
func (c *Client) Instances() []string {
	c.mu.Lock()
	defer c.mu.Unlock()

	known := c.listed
	if len(known) == 0 {
		known = c.seeds
	}

	known = slices.Concat(known, c.requesters)
	slices.Sort(known)

	return slices.DeleteFunc(slices.Compact(known), func(a string) bool { return a == c.self })
}

// addRequester records an instance that asked: if this instance has just started, it
// may know of no other.
func (c *Client) addRequester(address string) {
	if domain.CheckAddress("peer_address", address) != nil {
		return
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.requesters = slices.DeleteFunc(c.requesters, func(a string) bool { return a == address })
	c.requesters = append(c.requesters, address)
	c.requesters = c.requesters[max(len(c.requesters)-maxRequesters, 0):]
}

// All returns every peer address known, in a slice of its own: listed ones may be incomplete, and those of
// the settings out of date.
func (c *Client) All() []string {
	c.mu.Lock()
	all := slices.Concat(c.seeds, c.listed, c.requesters)
	c.mu.Unlock()

	slices.Sort(all)

	return slices.DeleteFunc(slices.Compact(all), func(a string) bool { return a == c.self })
}

// choose returns up to maxFetches random peer addresses to ask.
func (c *Client) choose() []string {
	all := c.All()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })

	return all[:min(len(all), maxFetches)]
}

// fetchNewest asks up to maxFetches instances at once and returns the newest copy that
// is newer than the revision, or nil.
func (c *Client) fetchNewest(ctx context.Context, collection string, revision follower.Revision) *pb.CopyAnswer {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()

	var (
		wg   sync.WaitGroup
		mu   sync.Mutex // Guards best.
		best *pb.CopyAnswer
	)

	for _, address := range c.choose() {
		wg.Go(func() {
			asked.Inc()

			a, err := c.fetch(ctx, address, collection, revision)
			if err != nil {
				failed.Inc()
				c.log.Info().Str("event", "copy_failed").Str("collection", collection).Str("peer", address).
					EmbedObject(revision).Err(err).Send()

				return
			}

			mu.Lock()
			defer mu.Unlock()

			if at := revisionOf(a); at.After(revision) && at.After(revisionOf(best)) {
				best = a
			}
		})
	}

	wg.Wait()

	return best
}

// fetch requests one copy over a new session.
func (c *Client) fetch(ctx context.Context, address, collection string, revision follower.Revision) (*pb.CopyAnswer, error) {
	session, err := mux.Dial(ctx, c.dial, address)
	if err != nil {
		return nil, err
	}

	stop := context.AfterFunc(ctx, func() { _ = session.Close() })

	defer func() {
		if stop() {
			_ = session.Close()
		}
	}()

	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}

	request := &pb.CopyRequest{Collection: collection, Revision: revision.Number, Era: revision.Era, PeerAddress: c.self}
	if err := frame.Write(stream, &pb.PeerFrame{Body: &pb.PeerFrame_CopyRequest{CopyRequest: request}}, frame.MaxControlBytes); err != nil {
		return nil, err
	}

	f, err := frame.Read(stream, address, frame.MaxRelayBytes, c.frames)
	if err != nil {
		return nil, err
	}

	if f.GetCopyAnswer() == nil {
		return nil, &frame.Error{Peer: address, Reason: "not an answer to a request for a copy"}
	}

	return f.GetCopyAnswer(), nil
}

// Peers reads one collection from other instances. It implements follower.Peers.
type Peers[T any] struct {
	Client     *Client
	Collection string
}

// From returns the copy of the instance at an address, which has none if it returns no items.
func (p Peers[T]) From(ctx context.Context, address string) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()

	asked.Inc()

	a, err := p.Client.fetch(ctx, address, p.Collection, follower.Revision{})
	if err != nil {
		failed.Inc()

		return nil, err
	}

	if a.GetRevision() == 0 {
		return nil, nil
	}

	return jsonlist.Decode[T](bytes.NewReader(a.GetItems()))
}

// Newer returns the newest of the copies that a few instances answer with, or the zero revision
// if none is newer than revision or the newest is invalid.
func (p Peers[T]) Newer(ctx context.Context, revision follower.Revision) (items []T, at follower.Revision) {
	a := p.Client.fetchNewest(ctx, p.Collection, revision)
	if a == nil {
		return nil, follower.Revision{}
	}

	items, err := jsonlist.Decode[T](bytes.NewReader(a.GetItems()))
	if err != nil {
		p.Client.log.Error().Str("event", "copy_refused").Str("collection", p.Collection).
			EmbedObject(revisionOf(a)).Err(err).Send()

		return nil, follower.Revision{}
	}

	return items, revisionOf(a)
}
