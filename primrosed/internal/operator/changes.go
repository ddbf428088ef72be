package operator

import (
	"context"

	"github.com/google/uuid"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/refusal"
)

// CreateService implements AdminService.
func (h *Handler) CreateService(ctx context.Context, req *pb.CreateServiceRequest) (*pb.CreateServiceResponse, error) {
	svc := ServiceFromProto(req.GetService())

	res, err := h.change(ctx, req.GetOptions(), configuration.Change{CreateService: &svc})
	if err != nil {
		return nil, err
	}

	return &pb.CreateServiceResponse{Result: res}, nil
}

// UpdateService implements AdminService.
func (h *Handler) UpdateService(ctx context.Context, req *pb.UpdateServiceRequest) (*pb.UpdateServiceResponse, error) {
	svc := ServiceFromProto(req.GetService())

	res, err := h.change(ctx, req.GetOptions(), configuration.Change{UpdateService: &svc})
	if err != nil {
		return nil, err
	}

	return &pb.UpdateServiceResponse{Result: res}, nil
}

// DeleteService implements AdminService.
func (h *Handler) DeleteService(ctx context.Context, req *pb.DeleteServiceRequest) (*pb.DeleteServiceResponse, error) {
	res, err := h.change(ctx, req.GetOptions(), configuration.Change{
		DeleteService: &configuration.ServiceRef{Name: req.GetName(), Version: req.GetVersion()},
	})
	if err != nil {
		return nil, err
	}

	return &pb.DeleteServiceResponse{Result: res}, nil
}

// SetMember implements AdminService.
func (h *Handler) SetMember(ctx context.Context, req *pb.SetMemberRequest) (*pb.SetMemberResponse, error) {
	res, err := h.change(ctx, req.GetOptions(), configuration.Change{
		SetMember: &domain.Member{Name: req.GetMember().GetName(), Weight: req.GetMember().GetWeight()},
	})
	if err != nil {
		return nil, err
	}

	return &pb.SetMemberResponse{Result: res}, nil
}

// DeleteMember implements AdminService.
func (h *Handler) DeleteMember(ctx context.Context, req *pb.DeleteMemberRequest) (*pb.DeleteMemberResponse, error) {
	res, err := h.change(ctx, req.GetOptions(), configuration.Change{
		DeleteMember: &configuration.MemberRef{Name: req.GetName()},
	})
	if err != nil {
		return nil, err
	}

	return &pb.DeleteMemberResponse{Result: res}, nil
}

// DrainSearcher implements AdminService.
func (h *Handler) DrainSearcher(ctx context.Context, req *pb.DrainSearcherRequest) (*pb.DrainSearcherResponse, error) {
	res, err := h.change(ctx, req.GetOptions(), configuration.Change{
		DrainSearcher: &configuration.Drain{
			Service: req.GetService(), Searcher: req.GetSearcher(), Draining: req.GetDraining(),
		},
	})
	if err != nil {
		return nil, err
	}

	return &pb.DrainSearcherResponse{Result: res}, nil
}

// change checks c, makes it unless it's a dry run, and logs the decision with
// the operator who asked.
func (h *Handler) change(ctx context.Context, o *pb.ChangeOptions, c configuration.Change) (*pb.ChangeResult, error) {
	c.ID = o.GetChangeId()

	version, err := h.decide(ctx, o, c)
	if err != nil {
		h.log.Info().Str("event", "change_refused").Str("change_id", c.ID).Str("operator", o.GetOperator()).
			Bool("dry_run", o.GetDryRun()).Err(err).Send()

		return nil, refusal.ToConnect(err)
	}

	h.log.Info().Str("event", "change_accepted").Str("change_id", c.ID).Str("operator", o.GetOperator()).
		Bool("dry_run", o.GetDryRun()).Uint64("version", version).Send()

	return &pb.ChangeResult{ConfigurationVersion: version, DryRun: o.GetDryRun()}, nil
}

// decide returns the version that the change results in. A dry run is checked
// against the configuration in force at this instance.
func (h *Handler) decide(ctx context.Context, o *pb.ChangeOptions, c configuration.Change) (uint64, error) {
	if err := uuid.Validate(c.ID); err != nil {
		return 0, &domain.Error{
			Fate: domain.FateNotRun, Code: domain.CodeInvalid, Step: "check change",
			Field: "options.change_id", Message: "must be a UUID", Cause: err,
		}
	}

	if !o.GetDryRun() {
		return h.changer.Change(ctx, c)
	}

	next, err := configuration.Apply(h.keeper.Current(), c)
	if err != nil {
		return 0, err
	}

	if _, err := next.Encode(); err != nil {
		return 0, err
	}

	return next.Configuration.Version, nil
}
