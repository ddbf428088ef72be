// Package operator serves operators: typed changes to the configuration, and
// what is in force.
package operator

import (
	"context"
	"errors"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
	"primrosespring.example/internal/refusal"
)

// Changer makes changes durable and puts them in force.
type Changer interface {
	Change(ctx context.Context, c configuration.Change) (uint64, error)
}

// Handler implements AdminService.
type Handler struct {
	primrosespringv1connect.UnimplementedAdminServiceHandler

	log     zerolog.Logger
	holder  *configuration.Holder
	changer Changer
}

// NewHandler returns a handler.
func NewHandler(log zerolog.Logger, holder *configuration.Holder, c Changer) *Handler {
	return &Handler{log: log, holder: holder, changer: c}
}

// CreateService implements AdminService.
func (h *Handler) CreateService(ctx context.Context, req *pb.CreateServiceRequest) (*pb.CreateServiceResponse, error) {
	svc := ServiceFromProto(req.GetService())

	res, err := h.change(ctx, req.GetOptions(), configuration.Change{CreateService: &svc})
	if err != nil {
		return nil, err
	}

	return &pb.CreateServiceResponse{Result: res}, nil
}

// GetConfiguration implements AdminService.
func (h *Handler) GetConfiguration(context.Context, *pb.GetConfigurationRequest) (*pb.GetConfigurationResponse, error) {
	cfg := h.holder.Configuration()
	resp := &pb.GetConfigurationResponse{Version: cfg.Version}

	for _, s := range cfg.Services {
		resp.Services = append(resp.Services, ServiceToProto(s))
	}

	for _, m := range cfg.Members {
		resp.Members = append(resp.Members, &pb.Member{Name: m.Name, Weight: m.Weight})
	}

	return resp, nil
}

func (h *Handler) change(ctx context.Context, o *pb.ChangeOptions, c configuration.Change) (*pb.ChangeResult, error) {
	c.ID = o.GetChangeId()
	if c.ID == "" {
		return nil, refusal.ToConnect(&domain.Error{
			Fate: domain.FateNotRun, Code: domain.CodeInvalid, Step: "check change",
			Field: "options.change_id", Message: "must not be empty",
		})
	}

	version, err := h.changer.Change(ctx, c)
	if err != nil {
		h.log.Info().Str("event", "change_refused").Str("change_id", c.ID).Str("operator", o.GetOperator()).Err(err).Send()

		return nil, refusal.ToConnect(err)
	}

	h.log.Info().Str("event", "change_accepted").Str("change_id", c.ID).Str("operator", o.GetOperator()).
		Uint64("version", version).Send()

	return &pb.ChangeResult{ConfigurationVersion: version}, nil
}

// isConflict reports whether err says that the object's version had changed.
func isConflict(err error) bool {
	var e *domain.Error

	return errors.As(err, &e) && e.Code == domain.CodeConflict
}
