// Package platform is a client of the platform's API: versioned objects with
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
	"primrosespring.example/internal/jsonlist"
)

const (
	dialTimeout = 500 * time.Millisecond
	// callTimeout detects a silent connection. The platform normally responds
	// within milliseconds.
	callTimeout = time.Second
	// slowCall is how long a call must have taken to count as a failure of the
	// platform if its caller's deadline ended it: far above the usual milliseconds.
	slowCall = 100 * time.Millisecond
	// watchTimeout is the maximum duration of a poll, sent with the request, and
	// watchGrace the extra time for the response. A silent watch is thus replaced
	// within 2.5 s: half of the 5 s in which a change must be in force everywhere.
	watchTimeout = 2 * time.Second
	watchGrace   = 500 * time.Millisecond

	maxResponseBytes = 2 << 20
	// maxValueBytes is the largest value that the platform stores.
	maxValueBytes = 1 << 20
	maxIdleConns  = 16

	peerName = "platform"
)

// errBackingOff is returned when a call isn't sent because earlier ones failed.
var errBackingOff = errors.New("backing off after earlier failures")

// Object is a value in the platform's store. Version 0 means that it doesn't
// exist.
type Object struct {
	Version uint64
	Value   []byte
}

// Options configures a Client. All fields except Address are optional.
type Options struct {
	// Address is the IP address and port of the platform.
	Address string
	// Fleet provides the number of instances that share the platform's rates.
	Fleet Fleet
	// Jitter returns a random duration between zero and limit.
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

// NewClientWithOptions returns a client with the given options.
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

// newHTTPClient returns a client with its own connections. It uses HTTP/1, so
// that a call that times out closes only its own connection.
func newHTTPClient(o Options) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DialContext: o.Dial}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.calls.CloseIdleConnections()
	c.watches.CloseIdleConnections()
}

// Available reports whether no call has failed since the last successful one.
func (c *Client) Available() bool { return c.backoff.inactive() }

// Get returns an object. Its version is 0 if it doesn't exist.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.read(ctx, call{kind: "read", step: "get object", url: c.path(kind, name), timeout: callTimeout, http: c.calls})
}

// Watch returns the object as soon as its version is above after. It returns
// an object with version 0 if the poll ends first; the caller watches again. An
// error with the code store_unavailable and an exceeded deadline as its cause
// means that the connection went silent; it is closed, and the next watch opens
// a new one.
func (c *Client) Watch(ctx context.Context, kind, name string, after uint64) (Object, error) {
	u := fmt.Sprintf("%s?watch_after=%d&timeout_ms=%d", c.path(kind, name), after, watchTimeout.Milliseconds())

	return c.read(ctx, call{kind: "watch", step: "watch object", url: u, timeout: watchTimeout + watchGrace, http: c.watches})
}

// Put replaces an object if its version is still version, or creates it if
// version is 0, and returns the new version. An error has FateNotRun and the code
// conflict if the version had changed, FateNotRun and another code if the request
// wasn't sent or was refused, and FateUnknown if the write may have happened.
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

// ListedInstance is an entry of the platform's list, which lags behind the
// actual state of the instances.
type ListedInstance struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving"`
}

var listEntriesIgnored = metrics.NewCounter(`primrosed_list_entries_ignored_total`)

// List is the platform's list of live and leaving instances.
type List struct {
	// Version increases with each change of the list.
	Version   uint64
	Instances []ListedInstance
}

// Instances returns the platform's list, or a List with version 0 if the list's
// version is still knownVersion: a whole list is too large to send each time.
func (c *Client) Instances(ctx context.Context, knownVersion uint64) (List, error) {
	list := call{
		kind: "list", step: "list instances", url: c.base + "/v1/instances", timeout: callTimeout, http: c.calls,
		knownVersion: knownVersion,
	}

	o, err := c.read(ctx, list)
	if err != nil || o.Version == 0 {
		return List{}, err
	}

	entries, err := listEntries(o.Value)
	if err != nil {
		return List{}, list.storeError(domain.FateNotRun, err)
	}

	out := List{Version: o.Version, Instances: make([]ListedInstance, 0, len(entries))}

	for _, raw := range entries {
		var i ListedInstance
		if json.Unmarshal(raw, &i) != nil || i.ID == "" {
			// An entry of another writer must not hide the others.
			listEntriesIgnored.Inc()

			continue
		}

		out.Instances = append(out.Instances, i)
	}

	return out, nil
}

// listEntries returns the unchecked entries of the platform's list.
func listEntries(body []byte) ([]json.RawMessage, error) {
	d, err := jsonlist.Parse(body)
	if err != nil {
		return nil, err
	}

	return d.List("instances")
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

// do makes one call within the budget and reads the whole response. If a call
// times out, its connection is closed because it may stay silent, and so are
// the idle ones because the same fault may affect them.
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

// admit waits until the backoff and the budget allow a call.
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
			"the call budget is exhausted").WithPeer(peerName).WithCause(err)
	}

	return nil
}

// recordStatus counts a completed call. A status of 500 and above is a failure
// of the platform.
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

// call describes a request to the platform.
type call struct {
	kind    string
	step    string
	url     string
	timeout time.Duration
	http    *http.Client
	// knownVersion is the version that the caller already has; 0 for none.
	knownVersion uint64
}

// countsAsFailure reports whether a call without a response is a failure of the
// platform. A silent watch isn't, since it must be replaced at once; a caller
// that gave up early says nothing about the platform.
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
		Message: "call to the platform's store failed", Cause: cause,
	}
}

// response is an HTTP response whose body has been read.
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

	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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
