package query

import (
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// Explain tells how a query of svc would be routed now, without sending
// anything.
func (r *Runner) Explain(cfg *domain.Configuration, svc *domain.Service) *pb.ExplainResponse {
	resp := &pb.ExplainResponse{ConfigurationVersion: cfg.Version, Instance: r.instance.ID}

	if snap, ok := r.snapshots.Choose(svc); ok {
		resp.IndexVersion, resp.PartitionMapVersion = snap.IndexVersion, snap.PartitionMapVersion
	}

	return resp
}
