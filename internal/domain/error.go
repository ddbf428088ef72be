// Package domain defines the types that the other packages share: search
// services, shards, searchers, rules, member organisations, instances, the
// configuration made of them, and the typed error that a refusal carries.
//
// Values are immutable: methods whose names begin with With return changed
// copies. Types that are stored or sent are validated when they are decoded. The
// package imports no other package of the project.
package domain

import (
	"fmt"
	"time"
)

// Fate says whether a request ran. The zero value is FateUnknown, so that an
// error without a stated fate never claims that the request didn't run.
type Fate uint8

const (
	// FateUnknown means that the request may or may not have run.
	FateUnknown Fate = iota
	// FateNotRun means that the request didn't run and never will.
	FateNotRun
	// FateRan means that the request ran.
	FateRan
)

// String returns the name used in logs and command output.
func (f Fate) String() string {
	switch f {
	case FateNotRun:
		return "not run"
	case FateRan:
		return "ran"
	case FateUnknown:
	}

	return "unknown"
}

// Code is the machine-readable reason of a refusal or failure. Codes are stable.
type Code string

// The codes of refusals and failures.
const (
	CodeInvalid             Code = "invalid"
	CodeNotFound            Code = "not_found"
	CodeExists              Code = "already_exists"
	CodeConflict            Code = "conflict"
	CodeOverloaded          Code = "overloaded"
	CodeRateLimited         Code = "rate_limited"
	CodeDeadline            Code = "deadline"
	CodeCancelled           Code = "cancelled"
	CodeCoverage            Code = "insufficient_coverage"
	CodeNoLiveSearcher      Code = "no_live_searcher"
	CodeSearcherUnavailable Code = "searcher_unavailable"
	CodeSearcherSilent      Code = "searcher_silent"
	CodeSearcherDraining    Code = "searcher_draining"
	CodeSnapshotGone        Code = "snapshot_gone"
	CodeCorrupt             Code = "corrupt_answer"
	CodeStoreUnavailable    Code = "store_unavailable"
	CodeStoreReverted       Code = "store_reverted"
	CodePeerUnavailable     Code = "peer_unavailable"
	CodeAlreadyClaimed      Code = "already_claimed"
	CodeNotReady            Code = "not_ready"
	CodeStopping            Code = "stopping"
	CodeInternal            Code = "internal"
	CodeHistoryGone         Code = "history_gone"
	CodeTooLarge            Code = "too_large"
	CodeHeaderTooLarge      Code = "header_too_large"
	CodeNoConfiguration     Code = "no_configuration"
	CodeSearcherFailed      Code = "searcher_failed"
	CodeQuarantined         Code = "quarantined"
	// CodeUnauthenticated refuses a request without the key of a member organisation.
	CodeUnauthenticated Code = "unauthenticated"
	// CodeKeysUnproven refuses a request while the instance doesn't know that the keys in its
	// configuration are still in force.
	CodeKeysUnproven Code = "keys_unproven"
	// CodeCapExceeded refuses a request beyond the cap of its member organisation.
	CodeCapExceeded Code = "cap_exceeded"
)

// Error is the error type of all packages. Step names the operation that failed
// and Peer where it failed; Peer is empty for a local failure.
type Error struct {
	Fate    Fate
	Code    Code
	Step    string
	Peer    string
	Message string
	// Field is the path of the offending field of an invalid request.
	Field string
	// RetryAfter is how long the caller should wait before a retry.
	RetryAfter time.Duration
	Cause      error
}

// Errorf returns an Error with a formatted message.
func Errorf(fate Fate, code Code, step, format string, args ...any) *Error {
	return &Error{Fate: fate, Code: code, Step: step, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	msg := e.Step + ": "
	if e.Peer != "" {
		msg += "peer " + e.Peer + ": "
	}

	if e.Field != "" {
		msg += e.Field + ": "
	}

	msg += e.Message
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}

	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithPeer returns a copy that names the peer.
func (e *Error) WithPeer(peer string) *Error {
	c := *e
	c.Peer = peer

	return &c
}

// WithFate returns a copy with another fate.
func (e *Error) WithFate(fate Fate) *Error {
	c := *e
	c.Fate = fate

	return &c
}

// WithCause returns a copy that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.Cause = cause

	return &c
}

// invalid returns the error for an invalid field.
func invalid(field, format string, args ...any) error {
	return &Error{
		Fate: FateNotRun, Code: CodeInvalid, Step: "check", Field: field,
		Message: fmt.Sprintf(format, args...),
	}
}

// InField returns err with prefix prepended to its field path if err is an
// Error, and any other error unchanged.
func InField(prefix string, err error) error {
	e, ok := err.(*Error) //nolint:errorlint // Only the outermost error carries the path.
	if !ok {
		return err
	}

	c := *e
	if c.Field == "" {
		c.Field = prefix
	} else {
		c.Field = prefix + "." + c.Field
	}

	return &c
}
