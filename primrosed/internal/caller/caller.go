// Package caller serves the callers' API: repeatable queries and non-repeatable
// requests.
package caller

import (
	"context"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/refusal"
)

// QueryRunner runs repeatable queries.
type QueryRunner interface {
	Search(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error)
}

// Executor runs non-repeatable requests.
type Executor interface {
	Execute(ctx context.Context, cfg *domain.Configuration, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error)
}

// Handler implements SearchService.
type Handler struct {
	keeper   *configuration.Keeper
	runner   QueryRunner
	executor Executor
}

// NewHandler returns a handler that takes its configuration from keeper.
func NewHandler(keeper *configuration.Keeper, r QueryRunner, e Executor) *Handler {
	return &Handler{keeper: keeper, runner: r, executor: e}
}

// Search implements SearchService.
func (h *Handler) Search(ctx context.Context, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	resp, err := h.runner.Search(ctx, h.keeper.Configuration(), req)
	if err != nil {
		return nil, refusal.ToConnect(err)
	}

	return resp, nil
}

// Execute implements SearchService.
func (h *Handler) Execute(ctx context.Context, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	resp, err := h.executor.Execute(ctx, h.keeper.Configuration(), req)
	if err != nil {
		return nil, refusal.ToConnect(err)
	}

	return resp, nil
}
