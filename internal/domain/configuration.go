package domain

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Configuration is everything that operators set. It is immutable: services
// and members are sorted by name and never changed in place.
type Configuration struct {
	Version  uint64    `json:"version"`
	Services []Service `json:"services"`
	Members  []Member  `json:"members"`
}

// Validate returns an error for the first invalid field.
func (c Configuration) Validate() error {
	for i, s := range c.Services {
		path := fmt.Sprintf("services[%d]", i)
		if err := s.Validate(); err != nil {
			return InField(path, err)
		}

		if i > 0 && c.Services[i-1].Name >= s.Name {
			return invalid(path+".name", "services must be sorted by name, each listed once")
		}
	}

	for i, m := range c.Members {
		path := fmt.Sprintf("members[%d]", i)
		if err := m.Validate(); err != nil {
			return InField(path, err)
		}

		if i > 0 && c.Members[i-1].Name >= m.Name {
			return invalid(path+".name", "members must be sorted by name, each listed once")
		}
	}

	return nil
}

// UnmarshalJSON decodes and checks a configuration.
func (c *Configuration) UnmarshalJSON(data []byte) error {
	type plain Configuration

	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Annotate(err, "decode configuration")
	}

	if err := Configuration(p).Validate(); err != nil {
		return err
	}

	*c = Configuration(p)

	return nil
}

// Service returns the service of that name.
func (c *Configuration) Service(name string) (*Service, bool) {
	i, ok := slices.BinarySearchFunc(c.Services, name, func(s Service, n string) int {
		return strings.Compare(s.Name, n)
	})
	if !ok {
		return nil, false
	}

	return &c.Services[i], true
}

// Member returns the member organisation of that name. All names that aren't
// configured map to one nameless member organisation, so that a caller gains no
// capacity by inventing names.
func (c *Configuration) Member(name string) Member {
	i, ok := slices.BinarySearchFunc(c.Members, name, func(m Member, n string) int {
		return strings.Compare(m.Name, n)
	})
	if !ok {
		return Member{Weight: DefaultMemberWeight}
	}

	return c.Members[i]
}

// WithVersion returns a copy with another version.
func (c Configuration) WithVersion(v uint64) Configuration {
	c.Version = v

	return c
}

// WithService returns a copy in which s is added or replaces the service of the
// same name.
func (c Configuration) WithService(s Service) Configuration {
	services := slices.DeleteFunc(slices.Clone(c.Services), func(o Service) bool { return o.Name == s.Name })
	services = append(services, s)
	slices.SortFunc(services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	c.Services = services

	return c
}

// WithoutService returns a copy without the service of that name.
func (c Configuration) WithoutService(name string) Configuration {
	c.Services = slices.DeleteFunc(slices.Clone(c.Services), func(o Service) bool { return o.Name == name })

	return c
}

// WithMember returns a copy in which m is added or replaces the member
// organisation of the same name.
func (c Configuration) WithMember(m Member) Configuration {
	members := slices.DeleteFunc(slices.Clone(c.Members), func(o Member) bool { return o.Name == m.Name })
	members = append(members, m)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	c.Members = members

	return c
}

// WithoutMember returns a copy without the member organisation of that name.
func (c Configuration) WithoutMember(name string) Configuration {
	c.Members = slices.DeleteFunc(slices.Clone(c.Members), func(o Member) bool { return o.Name == name })

	return c
}
