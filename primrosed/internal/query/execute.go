package query

import (
	"context"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// Execute refuses every request: claims aren't built yet.
func (r *Runner) Execute(context.Context, *domain.Configuration, *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	return nil, domain.Errorf(domain.FateNotRun, domain.CodeNotReady, "execute", "requests that must not be repeated aren't taken yet")
}
