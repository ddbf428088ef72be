// Package gatherer hands over queries that cover many shards to the instances that
// gather for others, and serves them there. It speaks protobuf frames over yamux,
// with one stream per query:
//
//	sender            gatherer
//	offer     ->
//	          <-      accept, or answer with a refusal
//	start     ->
//	          <-      answer
//
// No searcher is called before the start, so a sender whose offer isn't accepted
// in time can gather the query itself without a searcher getting it twice. If the
// gatherer stops responding after the start, the query's fate is unknown. Closing
// the stream cancels the query.
package gatherer

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/serving"
)

const (
	dialTimeout = 500 * time.Millisecond
	// acceptTimeout bounds the wait for an acceptance. The longest round trip between
	// failure domains takes 10 ms; the rest is for a busy CPU.
	acceptTimeout = 30 * time.Millisecond
	// startTimeout is how long a gatherer waits for the start after it accepted.
	startTimeout = 500 * time.Millisecond
	// maxStartBytes bounds the frame of a start, which has no content.
	maxStartBytes = 1 << 10
	// A session with queries in progress is pinged every pingInterval; one that
	// doesn't answer within mux.WriteTimeout is closed.
	pingInterval = 150 * time.Millisecond
	// A gatherer that didn't accept or stopped responding gets no offers for
	// minBackoff, and for twice as long after each further failure, up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// maxOffers bounds the gatherers that one query is offered to.
	maxOffers = 2
)

var (
	handedOver = metrics.NewCounter(`primrose_handovers_total{outcome="begun"}`)
	notBegun   = metrics.NewCounter(`primrose_handovers_total{outcome="not_begun"}`)
	taken      = metrics.NewCounter(`primrose_handovers_taken_total`)
	declined   = metrics.NewCounter(`primrose_handovers_declined_total`)
	silent     = metrics.NewCounter(`primrose_gatherers_silent_total`)
)

// encodeOffer returns the offer of a request to the instance.
func encodeOffer(instance, sender string, r *serving.Request, fingerprint uint64) *pb.PeerFrame {
	o := &pb.HandoverOffer{
		InstanceId: instance, Sender: sender, RequestId: r.ID, Host: r.Host, Path: r.Path, Target: r.Target, Method: r.Method,
		Headers: make([]*pb.HandoverHeader, 0, len(r.Header)), Body: r.Body, RouteFingerprint: fingerprint,
		ElapsedUs: uint64(max(time.Since(r.Received), 0).Microseconds()), CallerTimeoutUs: uint64(max(r.CallerTimeout, 0).Microseconds()),
		MarginUs: uint64(max(r.Margin, 0).Microseconds()), Member: r.Member,
	}

	if r.Member != "" {
		o.KeyDigest = r.Credentials.Key[:]
	}

	for name, values := range r.Header {
		o.Headers = append(o.Headers, &pb.HandoverHeader{Name: name, Values: values})
	}

	return &pb.PeerFrame{Body: &pb.PeerFrame_HandoverOffer{HandoverOffer: o}}
}

// decodeOffer returns the request of an offer that has just arrived.
func decodeOffer(o *pb.HandoverOffer) *serving.Request {
	r := &serving.Request{
		ID: o.GetRequestId(), Host: o.GetHost(), Path: o.GetPath(), Target: o.GetTarget(), Method: o.GetMethod(),
		Header: make(http.Header, len(o.GetHeaders())), Body: o.GetBody(), HandedOverBy: o.GetSender(),
		Received: time.Now().Add(-microseconds(o.GetElapsedUs())), CallerTimeout: microseconds(o.GetCallerTimeoutUs()),
		Margin: microseconds(o.GetMarginUs()), Member: o.GetMember(),
	}

	if digest := o.GetKeyDigest(); len(digest) > 0 {
		r.Credentials = domain.Credentials{Presented: true, Valid: len(digest) == len(domain.KeyDigest{})}
		copy(r.Credentials.Key[:], digest)
	}

	for _, h := range o.GetHeaders() {
		r.Header[h.GetName()] = h.GetValues()
	}

	return r
}

// microseconds converts a number from a peer, limited to a day so that sums can't
// overflow.
func microseconds(n uint64) time.Duration {
	const day = uint64(24 * time.Hour / time.Microsecond)

	return time.Duration(min(n, day)) * time.Microsecond
}
