// Package refusal converts the system's typed errors to and from Connect errors: a
// domain.Error becomes a Connect error with a Refusal detail, and back. An error
// without the detail has the fate unknown, so that conversion never reports more about
// a request than the sender stated.
package refusal

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// ToProto returns the wire form of err. An error that isn't a domain.Error has
// the fate unknown and the code internal.
func ToProto(err error) *pb.Refusal {
	var e *domain.Error
	if !errors.As(err, &e) {
		return &pb.Refusal{Fate: pb.Fate_FATE_UNKNOWN, Code: string(domain.CodeInternal), Message: err.Error()}
	}

	message := e.Message
	if e.Cause != nil {
		message += ": " + e.Cause.Error()
	}

	return &pb.Refusal{
		Fate: fateToProto(e.Fate), Code: string(e.Code), Step: e.Step, Peer: e.Peer,
		Message: message, Field: e.Field,
		RetryAfterMs: uint32(max(e.RetryAfter, 0) / time.Millisecond),
	}
}

// FromProto returns the error for a refusal received from a peer.
func FromProto(r *pb.Refusal) *domain.Error {
	return &domain.Error{
		Fate: fateFromProto(r.GetFate()), Code: domain.Code(r.GetCode()), Step: r.GetStep(), Peer: r.GetPeer(),
		Message: r.GetMessage(), Field: r.GetField(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}

// ToConnect returns err as a Connect error with a Refusal detail.
func ToConnect(err error) error {
	if err == nil {
		return nil
	}

	r := ToProto(err)
	ce := connect.NewError(connectCode(domain.Code(r.GetCode())), errors.New(r.GetMessage()))

	detail, derr := connect.NewErrorDetail(r)
	if derr == nil {
		ce.AddDetail(detail)
	}

	return ce
}

// FromConnect returns the domain.Error that a Connect error carries, with peer as its
// Peer if it has none. An error without the detail becomes one with the fate unknown,
// the given step and peer, and err as its cause.
func FromConnect(err error, step, peer string) *domain.Error {
	var ce *connect.Error
	if errors.As(err, &ce) {
		for _, d := range ce.Details() {
			v, verr := d.Value()
			if verr != nil {
				continue
			}

			if r, ok := v.(*pb.Refusal); ok {
				e := FromProto(r)
				if e.Peer == "" {
					e.Peer = peer
				}

				return e
			}
		}
	}

	code := domain.CodeInternal

	switch {
	case errors.Is(err, context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		code = domain.CodeDeadline
	case errors.Is(err, context.Canceled) || connect.CodeOf(err) == connect.CodeCanceled:
		code = domain.CodeCancelled
	case connect.CodeOf(err) == connect.CodeUnavailable:
		code = domain.CodePeerUnavailable
	case connect.CodeOf(err) == connect.CodeInvalidArgument:
		code = domain.CodeInvalid
	}

	return &domain.Error{Code: code, Step: step, Peer: peer, Message: "call failed", Cause: err}
}

func connectCode(c domain.Code) connect.Code {
	switch c {
	case domain.CodeInvalid:
		return connect.CodeInvalidArgument
	case domain.CodeNotFound:
		return connect.CodeNotFound
	case domain.CodeExists:
		return connect.CodeAlreadyExists
	case domain.CodeConflict, domain.CodeAlreadyClaimed:
		return connect.CodeAborted
	case domain.CodeOverloaded, domain.CodeRateLimited, domain.CodeCapExceeded:
		return connect.CodeResourceExhausted
	case domain.CodeUnauthenticated:
		return connect.CodeUnauthenticated
	case domain.CodeDeadline:
		return connect.CodeDeadlineExceeded
	case domain.CodeCancelled:
		return connect.CodeCanceled
	case domain.CodeInternal:
		return connect.CodeInternal
	case domain.CodeCorrupt:
		return connect.CodeDataLoss
	default:
		return connect.CodeUnavailable
	}
}

func fateToProto(f domain.Fate) pb.Fate {
	switch f {
	case domain.FateNotRun:
		return pb.Fate_FATE_NOT_RUN
	case domain.FateRan:
		return pb.Fate_FATE_RAN
	case domain.FateUnknown:
	}

	return pb.Fate_FATE_UNKNOWN
}

func fateFromProto(f pb.Fate) domain.Fate {
	switch f {
	case pb.Fate_FATE_NOT_RUN:
		return domain.FateNotRun
	case pb.Fate_FATE_RAN:
		return domain.FateRan
	case pb.Fate_FATE_UNKNOWN, pb.Fate_FATE_UNSPECIFIED:
	}

	return domain.FateUnknown
}
