// Package operator implements the operators' API, which changes and reports the
// configuration, and brings the stored configuration into force.
package operator

import (
	"context"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/refusal"
)

// Changer makes changes durable and puts them in force.
type Changer interface {
	// Change returns the version that c resulted in. The fate of an error says
	// whether the change may have been made.
	Change(ctx context.Context, c configuration.Change) (uint64, error)
}

// Fleet reports the status of the instances.
type Fleet interface {
	Instances() []InstanceStatus
	// StoreAvailable reports whether the platform's store answered the last
	// call of this instance.
	StoreAvailable() bool
}

// InstanceStatus is the status of one instance as known at this one.
type InstanceStatus struct {
	Instance             domain.Instance
	State                string
	ConfigurationVersion uint64
}

// Explainer describes how a query of a service would be routed now.
type Explainer interface {
	Explain(cfg *domain.Configuration, service *domain.Service) *pb.ExplainResponse
}

// Handler implements AdminService.
type Handler struct {
	log       zerolog.Logger
	instance  domain.Instance
	keeper    *configuration.Keeper
	changer   Changer
	fleet     Fleet
	explainer Explainer
}

// NewHandler returns the handler of instance.
func NewHandler(log zerolog.Logger, instance domain.Instance, keeper *configuration.Keeper,
	c Changer, f Fleet, e Explainer,
) *Handler {
	return &Handler{log: log, instance: instance, keeper: keeper, changer: c, fleet: f, explainer: e}
}

// GetConfiguration implements AdminService.
func (h *Handler) GetConfiguration(context.Context, *pb.GetConfigurationRequest) (*pb.GetConfigurationResponse, error) {
	cfg := h.keeper.Configuration()

	return &pb.GetConfigurationResponse{
		Version: cfg.Version, Services: servicesToProto(cfg.Services), Members: membersToProto(cfg.Members),
	}, nil
}

// GetService implements AdminService.
func (h *Handler) GetService(_ context.Context, req *pb.GetServiceRequest) (*pb.GetServiceResponse, error) {
	cfg := h.keeper.Configuration()

	svc, err := findService(cfg, req.GetName())
	if err != nil {
		return nil, refusal.ToConnect(err)
	}

	return &pb.GetServiceResponse{Service: ServiceToProto(*svc), ConfigurationVersion: cfg.Version}, nil
}

// ListServices implements AdminService.
func (h *Handler) ListServices(context.Context, *pb.ListServicesRequest) (*pb.ListServicesResponse, error) {
	cfg := h.keeper.Configuration()

	return &pb.ListServicesResponse{Services: servicesToProto(cfg.Services), ConfigurationVersion: cfg.Version}, nil
}

// ListMembers implements AdminService.
func (h *Handler) ListMembers(context.Context, *pb.ListMembersRequest) (*pb.ListMembersResponse, error) {
	cfg := h.keeper.Configuration()

	return &pb.ListMembersResponse{Members: membersToProto(cfg.Members), ConfigurationVersion: cfg.Version}, nil
}

// GetStatus implements AdminService.
func (h *Handler) GetStatus(context.Context, *pb.AdminServiceGetStatusRequest) (*pb.AdminServiceGetStatusResponse, error) {
	resp := &pb.AdminServiceGetStatusResponse{AnsweredBy: h.instance.ID, StoreAvailable: h.fleet.StoreAvailable()}

	for _, i := range h.fleet.Instances() {
		resp.Instances = append(resp.Instances, &pb.InstanceStatus{
			Id: i.Instance.ID, FailureDomain: i.Instance.FailureDomain, Region: i.Instance.Region,
			PeerAddress: i.Instance.PeerAddress, State: i.State, ConfigurationVersion: i.ConfigurationVersion,
		})
	}

	return resp, nil
}

// Explain implements AdminService.
func (h *Handler) Explain(_ context.Context, req *pb.ExplainRequest) (*pb.ExplainResponse, error) {
	cfg := h.keeper.Configuration()

	svc, err := findService(cfg, req.GetService())
	if err != nil {
		return nil, refusal.ToConnect(err)
	}

	return h.explainer.Explain(cfg, svc), nil
}

// WatchConfiguration implements AdminService. It ends when the caller disconnects.
func (h *Handler) WatchConfiguration(ctx context.Context, _ *pb.WatchConfigurationRequest,
	stream *connect.ServerStream[pb.WatchConfigurationResponse],
) error {
	var sent uint64

	for {
		changed := h.keeper.Changed()

		if v := h.keeper.Configuration().Version; v > sent {
			if err := stream.Send(&pb.WatchConfigurationResponse{Version: v}); err != nil {
				return err
			}

			sent = v
		}

		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func findService(cfg *domain.Configuration, name string) (*domain.Service, error) {
	svc, ok := cfg.Service(name)
	if !ok {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeNotFound, "get service", "service %q doesn't exist", name)
	}

	return svc, nil
}
