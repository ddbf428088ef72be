package membership

import (
	"github.com/cespare/xxhash/v2"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// State is the state of an instance. Of two records with the same incarnation,
// the one with the higher state wins.
type State uint8

// The states of an instance.
const (
	Alive State = iota
	// Suspect instances missed heartbeats. They still count as live, but get a
	// relayed request only if no other instance can take it.
	Suspect
	// Leaving instances finish their requests and get no new ones.
	Leaving
	Dead
)

var stateNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the name used in logs and by operators.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}

	return "unknown"
}

// Record is what the table holds of one instance.
type Record struct {
	Instance domain.Instance `json:"instance"`
	State    State           `json:"state"`
	// Incarnation is raised by the instance itself, to refute a suspicion.
	Incarnation          uint64 `json:"incarnation"`
	ConfigurationVersion uint64 `json:"configuration_version"`
}

// supersedes reports whether r is newer than o of the same instance.
func (r Record) supersedes(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}

	return r.State > o.State
}

// digest is the record's part in the digest of the table. It is 0 for dead
// records, which instances purge at different times.
func (r Record) digest(idHash uint64) uint64 {
	if r.State == Dead {
		return 0
	}

	// The finalizer of splitmix64.
	x := idHash ^ (r.Incarnation<<2 | uint64(r.State))
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}

// ToProto returns the wire form.
func (r Record) ToProto() *pb.InstanceRecord {
	return &pb.InstanceRecord{
		Id: r.Instance.ID, PeerAddress: r.Instance.PeerAddress, FailureDomain: r.Instance.FailureDomain,
		Region: r.Instance.Region, State: pb.InstanceState(r.State + 1), Incarnation: r.Incarnation,
		ConfigurationVersion: r.ConfigurationVersion,
	}
}

// FromProto decodes and validates the wire form.
func FromProto(p *pb.InstanceRecord) (Record, error) {
	r := Record{
		Instance: domain.Instance{
			ID: p.GetId(), PeerAddress: p.GetPeerAddress(), FailureDomain: p.GetFailureDomain(), Region: p.GetRegion(),
		},
		Incarnation: p.GetIncarnation(), ConfigurationVersion: p.GetConfigurationVersion(),
	}

	switch p.GetState() {
	case pb.InstanceState_INSTANCE_STATE_ALIVE:
	case pb.InstanceState_INSTANCE_STATE_SUSPECT:
		r.State = Suspect
	case pb.InstanceState_INSTANCE_STATE_LEAVING:
		r.State = Leaving
	case pb.InstanceState_INSTANCE_STATE_DEAD:
		r.State = Dead
	default:
		return Record{}, domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "decode instance record",
			"instance %q has unknown state %d", p.GetId(), p.GetState())
	}

	// A record made from a tombstone has only the id.
	if r.State == Dead {
		return r, domain.CheckName("id", r.Instance.ID)
	}

	return r, r.Instance.Validate()
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }
