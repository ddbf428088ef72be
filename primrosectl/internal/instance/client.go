// Package instance calls the operator addresses of entry instances.
package instance

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
	"primrosespring.example/internal/refusal"
)

// callTimeout limits one call to one instance.
const callTimeout = 10 * time.Second

// Admin is the client of one instance.
type Admin = primrosespringv1connect.AdminServiceClient

// Client calls the first instance that answers. Its zero value has no
// instances and fails every call.
type Client struct {
	addresses []string
	admins    []Admin
}

// NewClient returns a client of the instances at addresses, each an IP address
// with a port.
func NewClient(addresses []string) (*Client, error) {
	c := &Client{addresses: addresses}

	for _, a := range addresses {
		if err := domain.CheckAddress("--server", a); err != nil {
			return nil, err
		}

		c.admins = append(c.admins, primrosespringv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+a))
	}

	return c, nil
}

// Call runs f on each instance in turn until one answers. An error of fate
// unknown is retried at the next instance: every change carries an id, so it is
// applied once however often it is sent. If all fail, the fate is unknown if it
// was unknown at any of them.
func (c *Client) Call(ctx context.Context, step string, f func(context.Context, Admin) error) error {
	last := domain.Errorf(domain.FateNotRun, domain.CodeInvalid, step, "no --server given")
	unknown := false

	for i, a := range c.admins {
		err := call(ctx, a, f)
		if err == nil {
			return nil
		}

		last = refusal.FromConnect(err, step, c.addresses[i])
		if last.Fate == domain.FateNotRun && !retryable(last.Code) {
			return last
		}

		if last.Fate != domain.FateNotRun && !connectionRefused(err) {
			unknown = true
		}
	}

	if unknown {
		return last.WithFate(domain.FateUnknown)
	}

	return last.WithFate(domain.FateNotRun)
}

func call(ctx context.Context, a Admin, f func(context.Context, Admin) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return f(ctx, a)
}

// retryable reports whether another instance may accept the request.
func retryable(code domain.Code) bool {
	switch code {
	case domain.CodeStoreUnavailable, domain.CodeNotReady, domain.CodeStopping, domain.CodePeerUnavailable:
		return true
	default:
		return false
	}
}

// connectionRefused reports whether no connection was made, so that nothing was
// sent.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Stream runs f on the first instance without a timeout. It returns nil if ctx
// ended the call.
func (c *Client) Stream(ctx context.Context, step string, f func(context.Context, Admin) error) error {
	if len(c.admins) == 0 {
		return domain.Errorf(domain.FateNotRun, domain.CodeInvalid, step, "no --server given")
	}

	if err := f(ctx, c.admins[0]); err != nil && ctx.Err() == nil {
		return refusal.FromConnect(err, step, c.addresses[0])
	}

	return nil
}
