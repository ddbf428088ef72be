// Package caller serves callers: searches and requests that must not be
// repeated.
package caller

import (
	"context"
	"errors"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/refusal"
)

// Searcher runs repeatable queries.
type Searcher interface {
	Search(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error)
}

// Executor runs requests that must not be repeated.
type Executor interface {
	Execute(ctx context.Context, cfg *domain.Configuration, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error)
}

// Handler implements SearchService.
type Handler struct {
	holder   *configuration.Holder
	searcher Searcher
	executor Executor
}

// NewHandler returns a handler that takes its configuration from holder.
func NewHandler(holder *configuration.Holder, s Searcher, e Executor) *Handler {
	return &Handler{holder: holder, searcher: s, executor: e}
}

// Search implements SearchService.
func (h *Handler) Search(ctx context.Context, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	resp, err := h.searcher.Search(ctx, h.holder.Configuration(), req)
	if err != nil {
		return nil, refusal.ToConnect(err)
	}

	return resp, nil
}

// Execute implements SearchService.
func (h *Handler) Execute(ctx context.Context, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	resp, err := h.executor.Execute(ctx, h.holder.Configuration(), req)
	if err != nil {
		return nil, refusal.ToConnect(fateOfKey(req, err))
	}

	return resp, nil
}

// fateOfKey returns err with the fate of the key. A refusal from before the
// claim was read says nothing about an earlier sending of the key; only the
// record of the claim does.
func fateOfKey(req *pb.ExecuteRequest, err error) error {
	var e *domain.Error
	if !req.GetSentBefore() || !errors.As(err, &e) || e.Fate != domain.FateNotRun || e.Code == domain.CodeAlreadyClaimed {
		return err
	}

	return e.WithFate(domain.FateUnknown)
}
