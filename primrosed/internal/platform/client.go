// Package platform speaks to the platform's object API: objects with versions,
// conditional updates and watches, and the list of instances.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"primrosespring.example/internal/domain"
)

const (
	callTimeout  = 2 * time.Second
	watchTimeout = 20 * time.Second
	maxBodyBytes = 2 << 20
)

// Object is a value in the platform's store. Version 0 means that it doesn't
// exist.
type Object struct {
	Version uint64
	Value   []byte
}

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at address, an IP address and
// port.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Get returns an object. Its version is 0 if it doesn't exist.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.read(ctx, callTimeout, c.path(kind, name))
}

// Watch returns the object as soon as its version is above after. It returns
// an object of version 0 if that took too long; the caller watches again.
func (c *Client) Watch(ctx context.Context, kind, name string, after uint64) (Object, error) {
	u := fmt.Sprintf("%s?watch_after=%d&timeout_ms=%d", c.path(kind, name), after, watchTimeout.Milliseconds())

	return c.read(ctx, watchTimeout+callTimeout, u)
}

// Put replaces an object if its version still is version; 0 creates it. It
// returns the new version. The fate of an error is FateNotRun with the code
// conflict if the version had changed, and FateUnknown if the answer was lost.
func (c *Client) Put(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.path(kind, name), bytes.NewReader(value))
	if err != nil {
		return 0, c.fail("put object", domain.FateNotRun, err)
	}

	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(version, 10)))

	resp, err := c.http.Do(req)
	if err != nil {
		return 0, c.fail("put object", domain.FateUnknown, err)
	}
	defer drain(resp)

	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return etag(resp)
	case http.StatusPreconditionFailed:
		return 0, domain.Errorf(domain.FateNotRun, domain.CodeConflict, "put object",
			"%s/%s isn't at version %d", kind, name, version).WithPeer("platform")
	default:
		return 0, c.fail("put object", domain.FateUnknown, fmt.Errorf("status %s", resp.Status))
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

// Instances returns the platform's list of live and leaving instances.
func (c *Client) Instances(ctx context.Context) ([]ListedInstance, error) {
	o, err := c.read(ctx, callTimeout, c.base+"/v1/instances")
	if err != nil {
		return nil, err
	}

	var list struct {
		Instances []ListedInstance `json:"instances"`
	}
	if err := json.Unmarshal(o.Value, &list); err != nil {
		return nil, c.fail("list instances", domain.FateNotRun, err)
	}

	return list.Instances, nil
}

func (c *Client) path(kind, name string) string {
	return c.base + "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (c *Client) read(ctx context.Context, timeout time.Duration, u string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Object{}, c.fail("get object", domain.FateNotRun, err)
	}

	resp, err := c.http.Do(req)
	if err != nil {
		return Object{}, c.fail("get object", domain.FateNotRun, err)
	}
	defer drain(resp)

	switch resp.StatusCode {
	case http.StatusOK:
		version, err := etag(resp)
		if err != nil {
			return Object{}, err
		}

		value, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
		if err != nil {
			return Object{}, c.fail("get object", domain.FateNotRun, err)
		}

		return Object{Version: version, Value: value}, nil
	case http.StatusNotFound, http.StatusNotModified:
		return Object{}, nil
	default:
		return Object{}, c.fail("get object", domain.FateNotRun, fmt.Errorf("status %s", resp.Status))
	}
}

func (c *Client) fail(step string, fate domain.Fate, cause error) error {
	return &domain.Error{
		Fate: fate, Code: domain.CodeStoreUnavailable, Step: step, Peer: "platform",
		Message: "the platform's store didn't answer as expected", Cause: cause,
	}
}

func etag(resp *http.Response) (uint64, error) {
	v, err := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return 0, &domain.Error{
			Fate: domain.FateUnknown, Code: domain.CodeStoreUnavailable, Step: "read etag", Peer: "platform",
			Message: "the answer has no version", Cause: err,
		}
	}

	return v, nil
}

func drain(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))
	_ = resp.Body.Close()
}
