package workload

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
)

const (
	applyTimeout  = 60 * time.Second
	callTimeout   = 5 * time.Second
	applyInterval = 100 * time.Millisecond
	operatorName  = "load"
)

// entryRole is the role of instances on the platform's list.
const entryRole = "entry"

// listEntry is an entry of the platform's list of instances.
type listEntry struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving"`
}

// Register puts the instances in dir on the platform's list.
func Register(ctx context.Context, dir string) error {
	t, _, err := OpenTopology(dir)
	if err != nil {
		return err
	}

	c, err := openConfiguration(dir)
	if err != nil {
		return err
	}

	client := &http.Client{Timeout: callTimeout}

	for _, i := range c.Instances {
		if err := register(ctx, client, t.Platform, i); err != nil {
			return errors.Annotatef(err, "register instance %s", i.ID)
		}
	}

	return nil
}

func register(ctx context.Context, client *http.Client, platform string, i domain.Instance) error {
	data, err := json.Marshal(listEntry{ID: i.ID, Role: entryRole, Address: i.PeerAddress, FailureDomain: i.FailureDomain, Region: i.Region})
	if err != nil {
		return err
	}

	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+platform+"/fake/instances/"+i.ID, bytes.NewReader(data))
	if err != nil {
		return err
	}

	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode >= http.StatusBadRequest {
		return errors.New(resp.Status)
	}

	return nil
}

func openConfiguration(dir string) (Configuration, error) {
	data, err := os.ReadFile(filepath.Join(dir, ConfigurationFile))
	if err != nil {
		return Configuration{}, errors.Annotate(err, "open configuration")
	}

	var c Configuration
	if err := json.Unmarshal(data, &c); err != nil {
		return Configuration{}, errors.Annotate(err, "decode configuration")
	}

	return c, nil
}

// Apply creates the configuration in dir through the operator API of the first
// instance, and returns once it is in force at every instance. It fails after
// applyTimeout.
func Apply(ctx context.Context, dir string) error {
	t, _, err := OpenTopology(dir)
	if err != nil {
		return err
	}

	c, err := openConfiguration(dir)
	if err != nil {
		return err
	}

	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()

	version, err := create(ctx, adminClient(t.Instances[0]), c)
	if err != nil {
		return err
	}

	for _, i := range t.Instances {
		if err := waitInForce(ctx, adminClient(i), version); err != nil {
			return errors.Annotatef(err, "instance %s", i.ID)
		}
	}

	return nil
}

func adminClient(i InstanceAddress) primrosespringv1connect.AdminServiceClient {
	return primrosespringv1connect.NewAdminServiceClient(&http.Client{Timeout: callTimeout}, "http://"+i.Operator)
}

// create creates the services and members, and returns the configuration version
// of the last change.
func create(ctx context.Context, client primrosespringv1connect.AdminServiceClient, c Configuration) (uint64, error) {
	var version uint64

	for _, s := range c.Services {
		resp, err := client.CreateService(ctx, &pb.CreateServiceRequest{Service: serviceToProto(s), Options: changeOptions()})
		if err != nil {
			return 0, errors.Annotatef(err, "create service %s", s.Name)
		}

		version = resp.GetResult().GetConfigurationVersion()
	}

	for _, m := range c.Members {
		resp, err := client.SetMember(ctx, &pb.SetMemberRequest{Member: &pb.Member{Name: m.Name, Weight: m.Weight}, Options: changeOptions()})
		if err != nil {
			return 0, errors.Annotatef(err, "set member %s", m.Name)
		}

		version = resp.GetResult().GetConfigurationVersion()
	}

	return version, nil
}

func waitInForce(ctx context.Context, client primrosespringv1connect.AdminServiceClient, version uint64) error {
	for {
		resp, err := client.GetConfiguration(ctx, &pb.GetConfigurationRequest{})
		if err == nil && resp.GetVersion() >= version {
			return nil
		}

		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "version %d isn't in force", version)
		case <-time.After(applyInterval):
		}
	}
}

func changeOptions() *pb.ChangeOptions {
	return &pb.ChangeOptions{ChangeId: uuid.NewString(), Operator: operatorName}
}

func serviceToProto(s domain.Service) *pb.Service {
	out := &pb.Service{
		Name: s.Name, PartitionMap: &pb.PartitionMap{Version: s.PartitionMap.Version},
		Rules: &pb.Rules{
			TimeoutMs: s.Rules.TimeoutMS, MaxAttempts: s.Rules.MaxAttempts, ExtraLoadPermille: s.Rules.ExtraLoadPermille,
			Hedging: s.Rules.Hedging, MinCoveragePermille: s.Rules.MinCoveragePermille, PartialWaitMs: s.Rules.PartialWaitMS,
			Repeatable: s.Rules.Repeatable, NonRepeatable: s.Rules.NonRepeatable,
		},
	}

	for _, sh := range s.PartitionMap.Shards {
		shard := &pb.Shard{Number: sh.Number}
		for _, sr := range sh.Searchers {
			shard.Searchers = append(shard.Searchers, &pb.Searcher{
				Id: sr.ID, Address: sr.Address, FailureDomain: sr.FailureDomain, Slots: sr.Slots, Connections: sr.Connections,
			})
		}

		out.PartitionMap.Shards = append(out.PartitionMap.Shards, shard)
	}

	return out
}
