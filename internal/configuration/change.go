package configuration

import (
	"encoding/json"

	"github.com/juju/errors"

	"primrosespring.example/internal/domain"
)

const (
	// ObjectKind is the kind of the platform object that holds the
	// configuration.
	ObjectKind = "configuration"
	// ObjectName is the name of that object.
	ObjectName = "current"
	// MaxStoredBytes is the platform's limit on an object's size.
	MaxStoredBytes = 1 << 20
	// maxRecent bounds the change ids that are kept so that writers whose answer was
	// lost can find their change.
	maxRecent = 256
)

// AppliedChange records the version that made a change part of the configuration.
type AppliedChange struct {
	ChangeID string `json:"change_id"`
	Version  uint64 `json:"version"`
}

// Stored is the form of the configuration in the platform's store.
type Stored struct {
	Configuration domain.Configuration `json:"configuration"`
	// Recent lists the latest changes, oldest first.
	Recent []AppliedChange `json:"recent"`
	// Last is the change that produced this version. Peers that have the version
	// before are sent only this change.
	Last *Change `json:"last,omitempty"`
}

// Decode decodes and validates the stored form.
func Decode(data []byte) (*Stored, error) {
	var s Stored
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.Annotate(err, "decode stored configuration")
	}

	return &s, nil
}

// Encode returns the stored form as JSON. It returns an error if the store wouldn't
// accept its size.
func (s *Stored) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Annotate(err, "encode stored configuration")
	}

	if len(data) > MaxStoredBytes {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "encode configuration",
			"configuration would have %d bytes; at most %d are allowed", len(data), MaxStoredBytes)
	}

	return data, nil
}

// AppliedVersion returns the version that the change produced, if it is among the
// latest changes.
func (s *Stored) AppliedVersion(changeID string) (uint64, bool) {
	for _, a := range s.Recent {
		if a.ChangeID == changeID {
			return a.Version, true
		}
	}

	return 0, false
}

// Change is one change by an operator. Exactly one field besides ID is set.
type Change struct {
	ID            string          `json:"id"`
	CreateService *domain.Service `json:"create_service,omitempty"`
	UpdateService *domain.Service `json:"update_service,omitempty"`
	DeleteService *ServiceRef     `json:"delete_service,omitempty"`
	SetMember     *domain.Member  `json:"set_member,omitempty"`
	DeleteMember  *MemberRef      `json:"delete_member,omitempty"`
	DrainSearcher *Drain          `json:"drain_searcher,omitempty"`
}

// ServiceRef names a service and the version that the change was made against.
type ServiceRef struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// MemberRef names a member organisation.
type MemberRef struct {
	Name string `json:"name"`
}

// Drain starts or ends the draining of a searcher.
type Drain struct {
	Service  string `json:"service"`
	Searcher string `json:"searcher"`
	Draining bool   `json:"draining"`
}

// Apply returns the stored form after the change, or s if the change is already
// part of it. Errors are domain.Error of fate not run.
func Apply(s *Stored, c Change) (*Stored, error) {
	if _, ok := s.AppliedVersion(c.ID); ok {
		return s, nil
	}

	next, err := apply(s.Configuration, c)
	if err != nil {
		return nil, err
	}

	next = next.WithVersion(s.Configuration.Version + 1)
	if err := next.Validate(); err != nil {
		return nil, err
	}

	recent := append(append([]AppliedChange(nil), s.Recent...), AppliedChange{ChangeID: c.ID, Version: next.Version})
	if len(recent) > maxRecent {
		recent = recent[len(recent)-maxRecent:]
	}

	return &Stored{Configuration: next, Recent: recent, Last: &c}, nil
}

// apply gives a changed service the version of the configuration that it becomes
// part of. So a service that is deleted and created again never reuses a version,
// and a change made against the old one is refused.
func apply(cfg domain.Configuration, c Change) (domain.Configuration, error) {
	switch {
	case c.CreateService != nil:
		if _, ok := cfg.Service(c.CreateService.Name); ok {
			return cfg, refuse(domain.CodeExists, "service %s already exists", c.CreateService.Name)
		}

		return cfg.WithService(c.CreateService.WithVersion(cfg.Version + 1)), nil
	case c.UpdateService != nil:
		if err := checkServiceVersion(cfg, c.UpdateService.Name, c.UpdateService.Version); err != nil {
			return cfg, err
		}

		return cfg.WithService(c.UpdateService.WithVersion(cfg.Version + 1)), nil
	case c.DeleteService != nil:
		if err := checkServiceVersion(cfg, c.DeleteService.Name, c.DeleteService.Version); err != nil {
			return cfg, err
		}

		return cfg.WithoutService(c.DeleteService.Name), nil
	case c.SetMember != nil:
		return cfg.WithMember(*c.SetMember), nil
	case c.DeleteMember != nil:
		return cfg.WithoutMember(c.DeleteMember.Name), nil
	case c.DrainSearcher != nil:
		return drain(cfg, *c.DrainSearcher)
	}

	return cfg, refuse(domain.CodeInvalid, "change %s is empty", c.ID)
}

func drain(cfg domain.Configuration, d Drain) (domain.Configuration, error) {
	svc, ok := cfg.Service(d.Service)
	if !ok {
		return cfg, refuse(domain.CodeNotFound, "service %s doesn't exist", d.Service)
	}

	next, found := svc.WithDraining(d.Searcher, d.Draining)
	if !found {
		return cfg, refuse(domain.CodeNotFound, "service %s has no searcher %s", d.Service, d.Searcher)
	}

	return cfg.WithService(next.WithVersion(cfg.Version + 1)), nil
}

// checkServiceVersion returns an error unless the service is at version.
func checkServiceVersion(cfg domain.Configuration, name string, version uint64) error {
	svc, ok := cfg.Service(name)
	if !ok {
		return refuse(domain.CodeNotFound, "service %s doesn't exist", name)
	}

	if svc.Version != version {
		return refuse(domain.CodeConflict, "service %s is at version %d, not %d", name, svc.Version, version)
	}

	return nil
}

func refuse(code domain.Code, format string, args ...any) error {
	return domain.Errorf(domain.FateNotRun, code, "apply change", format, args...)
}
