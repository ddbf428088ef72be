// Package platform speaks to the platform's object API: objects with versions,
// conditional updates and watches, and the list of instances.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"primrosespring.example/internal/domain"
)

const (
	dialTimeout = 500 * time.Millisecond
	// callTimeout finds a connection that went silent. The platform answers in
	// milliseconds.
	callTimeout = time.Second
	// slowCall is how long a call must have waited to count as a failure when
	// its caller's deadline ended it. It is far above the usual milliseconds.
	slowCall = 100 * time.Millisecond
	// watchTimeout is the longest poll asked for, and watchGrace how much later
	// its answer may come. A silent watch is replaced within 2.5 s, which leaves
	// half of the 5 s in which a change must be in force everywhere.
	watchTimeout = 2 * time.Second
	watchGrace   = 500 * time.Millisecond

	maxBodyBytes = 2 << 20
	// maxValueBytes is the largest value that the platform holds.
	maxValueBytes = 1 << 20
	maxIdleConns  = 16

	peerName = "platform"
)

// errBackingOff says that no call is made because earlier ones failed.
var errBackingOff = errors.New("waiting after earlier failures")

// Object is a value in the platform's store. Version 0 means that it doesn't
// exist.
type Object struct {
	Version uint64
	Value   []byte
}

// Options are what a client depends on. The zero value of each field but the
// address is usable.
type Options struct {
	// Address is the IP address and port of the platform.
	Address string
	// Fleet says how many instances share the platform's rates.
	Fleet Fleet
	// Jitter returns a random duration from zero up to limit.
	Jitter func(limit time.Duration) time.Duration
	// Dial replaces net.Dialer.DialContext.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the object API within its budget. It is safe for concurrent
// use.
type Client struct {
	base    string
	calls   *http.Client
	watches *http.Client
	reads   *callBudget
	writes  *callBudget
	backoff *backoff
}

// NewClient returns a client of the platform at address, an IP address and
// port.
func NewClient(address string) *Client { return NewClientWithOptions(Options{Address: address}) }

// NewClientWithOptions returns a client with other than the default options.
func NewClientWithOptions(o Options) *Client {
	if o.Jitter == nil {
		o.Jitter = func(limit time.Duration) time.Duration { return rand.N(limit + 1) }
	}

	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}

	return &Client{
		base: "http://" + o.Address, calls: newHTTPClient(o), watches: newHTTPClient(o),
		reads:   newCallBudget(o.Fleet, fleetReadsPerSecond, instanceReadsPerSecond),
		writes:  newCallBudget(o.Fleet, fleetWritesPerSecond, instanceWritesPerSecond),
		backoff: &backoff{jitter: o.Jitter},
	}
}

// newHTTPClient returns a client with connections of its own. HTTP/1 is used:
// a call that times out closes its connection and no other.
func newHTTPClient(o Options) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DialContext: o.Dial}}
}

// Close closes the connections that are idle.
func (c *Client) Close() {
	c.calls.CloseIdleConnections()
	c.watches.CloseIdleConnections()
}

// Available reports whether the platform answered the last call.
func (c *Client) Available() bool { return c.backoff.inactive() }

// Get returns an object. Its version is 0 if it doesn't exist.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.read(ctx, call{kind: "read", step: "get object", url: c.path(kind, name), timeout: callTimeout, http: c.calls})
}

// Watch returns the object as soon as its version is above after. It returns
// an object of version 0 if that took too long; the caller watches again. An
// error with the code store_unavailable and a deadline as its cause means that
// the poll went silent; its connection is closed, and the next watch opens a
// new one.
func (c *Client) Watch(ctx context.Context, kind, name string, after uint64) (Object, error) {
	u := fmt.Sprintf("%s?watch_after=%d&timeout_ms=%d", c.path(kind, name), after, watchTimeout.Milliseconds())

	return c.read(ctx, call{kind: "watch", step: "watch object", url: u, timeout: watchTimeout + watchGrace, http: c.watches})
}

// Put replaces an object if its version still is version; 0 creates it. It
// returns the new version. The fate of an error is FateNotRun with the code
// conflict if the version had changed, FateNotRun with another code if the
// request wasn't sent or was refused, and FateUnknown if its answer was lost.
func (c *Client) Put(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error) {
	put := call{kind: "write", step: "put object", url: c.path(kind, name), timeout: callTimeout, http: c.calls}

	if len(value) > maxValueBytes {
		return 0, domain.Errorf(domain.FateNotRun, domain.CodeInvalid, put.step,
			"%s/%s has %d bytes; at most %d are allowed", kind, name, len(value), maxValueBytes).WithPeer(peerName)
	}

	req, err := http.NewRequest(http.MethodPut, put.url, bytes.NewReader(value)) //nolint:noctx // do adds the context.
	if err != nil {
		return 0, put.storeError(domain.FateNotRun, err)
	}

	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(version, 10)))

	resp, err := c.do(ctx, put, req)
	if err != nil {
		return 0, err
	}

	switch {
	case resp.status == http.StatusOK || resp.status == http.StatusCreated:
		return resp.version(put, domain.FateUnknown)
	case resp.status == http.StatusPreconditionFailed:
		return 0, domain.Errorf(domain.FateNotRun, domain.CodeConflict, put.step,
			"%s/%s isn't at version %d", kind, name, version).WithPeer(peerName)
	case resp.status == http.StatusRequestTimeout || resp.status >= http.StatusInternalServerError:
		return 0, put.storeError(domain.FateUnknown, resp.statusError())
	default:
		return 0, put.storeError(domain.FateNotRun, resp.statusError())
	}
}

// ListedInstance is one entry of the platform's list, which lags.
type ListedInstance struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving"`
}

// List is the platform's list of live and leaving instances.
type List struct {
	// Version rises with each change of the list.
	Version   uint64
	Instances []ListedInstance
}

// Instances returns the platform's list if its version isn't after, and a List
// of version 0 if it is: a whole list is too large to be sent each time.
func (c *Client) Instances(ctx context.Context, after uint64) (List, error) {
	list := call{
		kind: "list", step: "list instances", url: c.base + "/v1/instances", timeout: callTimeout, http: c.calls,
		knownVersion: after,
	}

	o, err := c.read(ctx, list)
	if err != nil || o.Version == 0 {
		return List{}, err
	}

	var decoded struct {
		Instances []ListedInstance `json:"instances"`
	}
	if err := json.Unmarshal(o.Value, &decoded); err != nil {
		return List{}, list.storeError(domain.FateNotRun, err)
	}

	return List{Version: o.Version, Instances: decoded.Instances}, nil
}

func (c *Client) path(kind, name string) string {
	return c.base + "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (c *Client) read(ctx context.Context, get call) (Object, error) {
	req, err := http.NewRequest(http.MethodGet, get.url, http.NoBody) //nolint:noctx // do adds the context.
	if err != nil {
		return Object{}, get.storeError(domain.FateNotRun, err)
	}

	if get.knownVersion > 0 {
		req.Header.Set("If-None-Match", strconv.Quote(strconv.FormatUint(get.knownVersion, 10)))
	}

	resp, err := c.do(ctx, get, req)
	if err != nil {
		return Object{}, err
	}

	switch resp.status {
	case http.StatusOK:
		version, err := resp.version(get, domain.FateNotRun)

		return Object{Version: version, Value: resp.body}, err
	case http.StatusNotFound, http.StatusNotModified:
		return Object{}, nil
	default:
		return Object{}, get.storeError(domain.FateNotRun, resp.statusError())
	}
}

// do makes one call within the budget and reads its answer to the end. A call
// that times out leaves a connection that may be silent for good: it is
// closed, together with the idle ones that may share its fault.
func (c *Client) do(ctx context.Context, cl call, req *http.Request) (*response, error) {
	if err := c.admit(ctx, cl); err != nil {
		cl.count("not_sent")

		return nil, err
	}

	var sent atomic.Bool

	start := time.Now()

	timeoutCtx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()

	traceCtx := httptrace.WithClientTrace(timeoutCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})

	resp, err := roundTrip(cl.http, req.WithContext(traceCtx))
	if err == nil {
		c.recordStatus(cl, resp.status)

		return resp, nil
	}

	timedOut := timeoutCtx.Err() != nil
	if timedOut {
		cl.http.CloseIdleConnections()
	}

	if cl.countsAsFailure(ctx, timedOut, time.Since(start)) {
		c.backoff.failed()
	}

	fate := domain.FateNotRun
	if cl.kind == "write" && sent.Load() {
		fate = domain.FateUnknown
	}

	switch {
	case !sent.Load():
		cl.count("not_sent")
	case timedOut:
		cl.count("timeout")
	default:
		cl.count("broken")
	}

	return nil, cl.storeError(fate, err)
}

func (c *Client) admit(ctx context.Context, cl call) error {
	if err := c.backoff.wait(ctx); err != nil {
		return cl.storeError(domain.FateNotRun, err)
	}

	b := c.reads
	if cl.kind == "write" {
		b = c.writes
	}

	if err := b.wait(ctx); err != nil {
		return domain.Errorf(domain.FateNotRun, domain.CodeRateLimited, cl.step,
			"the budget of calls is spent").WithPeer(peerName).WithCause(err)
	}

	return nil
}

// recordStatus counts an answered call. A status of 500 and above is a failure of the
// platform.
func (c *Client) recordStatus(cl call, status int) {
	if status >= http.StatusInternalServerError {
		c.backoff.failed()
	} else {
		c.backoff.succeeded()
	}

	switch status {
	case http.StatusOK, http.StatusCreated:
		cl.count("ok")
	case http.StatusNotFound, http.StatusNotModified:
		cl.count("none")
	case http.StatusPreconditionFailed:
		cl.count("conflict")
	default:
		cl.count("status_" + strconv.Itoa(status))
	}
}

// call is one kind of call, with its limits.
type call struct {
	kind    string
	step    string
	url     string
	timeout time.Duration
	http    *http.Client
	// knownVersion is the version of which no copy is wanted; 0 for none.
	knownVersion uint64
}

// countsAsFailure reports whether a call without an answer is a failure of the
// platform. A watch that went silent is replaced at once, and a caller that
// gave up early says nothing about the platform.
func (c call) countsAsFailure(caller context.Context, timedOut bool, elapsed time.Duration) bool {
	switch {
	case c.kind == "watch" && timedOut:
		return false
	case errors.Is(caller.Err(), context.Canceled):
		return false
	case caller.Err() != nil:
		return elapsed >= slowCall
	default:
		return true
	}
}

func (c call) count(result string) {
	metrics.GetOrCreateCounter(`primrosed_store_calls_total{kind="` + c.kind + `",result="` + result + `"}`).Inc()
}

func (c call) storeError(fate domain.Fate, cause error) error {
	return &domain.Error{
		Fate: fate, Code: domain.CodeStoreUnavailable, Step: c.step, Peer: peerName,
		Message: "the platform's store didn't answer as expected", Cause: cause,
	}
}

// response is an answer that was read to its end.
type response struct {
	status int
	etag   string
	body   []byte
}

func roundTrip(h *http.Client, req *http.Request) (*response, error) {
	resp, err := h.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}

	return &response{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: body}, nil
}

func (r *response) version(c call, fate domain.Fate) (uint64, error) {
	v, err := strconv.ParseUint(strings.Trim(r.etag, `"`), 10, 64)
	if err != nil {
		return 0, c.storeError(fate, errors.Annotate(err, "read version"))
	}

	return v, nil
}

func (r *response) statusError() error {
	return errors.Errorf("status %d %s", r.status, http.StatusText(r.status))
}
