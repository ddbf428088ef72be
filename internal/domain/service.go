package domain

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"github.com/juju/errors"
)

// Limits on a configuration. They keep the stored object under the platform's
// limit of one megabyte and a query's fan-out within what one instance can handle.
const (
	MaxShards            = 1024
	MaxSearchersPerShard = 64
	MaxNameLength        = 63
	MaxSlots             = 4096
	MaxConnections       = 65535
	MaxTimeoutMS         = 60_000
	MaxAttempts          = 8
	MaxExtraLoadPermille = 500
	Permille             = 1000
	MaxMemberWeight      = 1_000_000
	MaxCap               = 1_000_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// CheckName returns an error unless name is usable for a service, searcher,
// member organisation, instance or failure domain: lower-case letters, digits
// and inner hyphens, at most MaxNameLength characters.
func CheckName(field, name string) error {
	switch {
	case name == "":
		return invalid(field, "must not be empty")
	case len(name) > MaxNameLength:
		return invalid(field, "has %d characters; at most %d are allowed", len(name), MaxNameLength)
	case !namePattern.MatchString(name):
		return invalid(field, "%q must consist of lower-case letters, digits and inner hyphens", name)
	}

	return nil
}

// CheckAddress returns an error unless address is an IP address with a port.
func CheckAddress(field, address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return invalid(field, "%q is not an IP address and port", address)
	}

	if ap.Port() == 0 {
		return invalid(field, "%q has no port", address)
	}

	return nil
}

// Searcher is one backend server of a shard.
type Searcher struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Slots is how many requests the searcher runs at once.
	Slots uint32 `json:"slots"`
	// Connections is how many connections it accepts from all instances.
	Connections uint32 `json:"connections"`
	// Draining is set by the operator: the searcher gets no new work.
	Draining bool `json:"draining,omitempty"`
	// Incarnation identifies one start of the searcher's process; zero if it isn't known.
	Incarnation int64 `json:"-"`
	// Gathered is set if a gathered route sends requests to the searcher.
	Gathered bool `json:"-"`
}

// Validate returns an error for the first invalid field.
func (s Searcher) Validate() error {
	if err := CheckName("id", s.ID); err != nil {
		return err
	}

	if err := CheckAddress("address", s.Address); err != nil {
		return err
	}

	if err := CheckName("failure_domain", s.FailureDomain); err != nil {
		return err
	}

	if s.Slots == 0 || s.Slots > MaxSlots {
		return invalid("slots", "is %d; must be 1 to %d", s.Slots, MaxSlots)
	}

	if s.Connections == 0 || s.Connections > MaxConnections {
		return invalid("connections", "is %d; must be 1 to %d", s.Connections, MaxConnections)
	}

	return nil
}

// Shard is one part of the data, with the searchers that hold it.
type Shard struct {
	Number    uint32     `json:"number"`
	Searchers []Searcher `json:"searchers"`
}

// Validate returns an error for the first invalid field.
func (s Shard) Validate() error {
	if len(s.Searchers) == 0 {
		return invalid("searchers", "must name at least one searcher")
	}

	if len(s.Searchers) > MaxSearchersPerShard {
		return invalid("searchers", "has %d entries; at most %d are allowed", len(s.Searchers), MaxSearchersPerShard)
	}

	seen := make(map[string]bool, len(s.Searchers))

	for i, sr := range s.Searchers {
		path := fmt.Sprintf("searchers[%d]", i)
		if err := sr.Validate(); err != nil {
			return InField(path, err)
		}

		if seen[sr.ID] {
			return invalid(path+".id", "%q is listed twice", sr.ID)
		}

		seen[sr.ID] = true
	}

	return nil
}

// PartitionMap divides a service's data into shards.
type PartitionMap struct {
	Version uint64  `json:"version"`
	Shards  []Shard `json:"shards"`
}

// Validate returns an error for the first invalid field. Shards are numbered
// 0 to n-1 in order.
func (p PartitionMap) Validate() error {
	if p.Version == 0 {
		return invalid("version", "must be at least 1")
	}

	if len(p.Shards) == 0 || len(p.Shards) > MaxShards {
		return invalid("shards", "has %d entries; must have 1 to %d", len(p.Shards), MaxShards)
	}

	addresses := make(map[string]string)

	for i, sh := range p.Shards {
		path := fmt.Sprintf("shards[%d]", i)
		if sh.Number != uint32(i) {
			return invalid(path+".number", "is %d; shards must be numbered from 0 in order", sh.Number)
		}

		if err := sh.Validate(); err != nil {
			return InField(path, err)
		}

		for j, sr := range sh.Searchers {
			if other, ok := addresses[sr.Address]; ok && other != sr.ID {
				return invalid(fmt.Sprintf("%s.searchers[%d].address", path, j),
					"%s already belongs to searcher %s", sr.Address, other)
			}

			addresses[sr.Address] = sr.ID
		}
	}

	return nil
}

// Rules say how the requests of a service are treated.
type Rules struct {
	// TimeoutMS is the deadline of a request that names none, and the longest
	// one allowed, in milliseconds.
	TimeoutMS uint32 `json:"timeout_ms"`
	// MaxAttempts bounds the attempts for one shard, the first included.
	MaxAttempts uint32 `json:"max_attempts"`
	// ExtraLoadPermille is how many retries and hedges are allowed for each
	// 1,000 first attempts.
	ExtraLoadPermille uint32 `json:"extra_load_permille"`
	Hedging           bool   `json:"hedging"`
	// MinCoveragePermille is the least share of shards that an answer must
	// include; 1000 allows whole answers only.
	MinCoveragePermille uint32 `json:"min_coverage_permille"`
	// PartialWaitMS is how long to wait for missing shards once the minimum
	// coverage is met, in milliseconds; zero waits for the deadline.
	PartialWaitMS uint32 `json:"partial_wait_ms"`
	// Repeatable allows Search; NonRepeatable allows Execute.
	Repeatable    bool `json:"repeatable"`
	NonRepeatable bool `json:"non_repeatable"`
}

// Timeout returns TimeoutMS as a duration.
func (r Rules) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// TimeoutFor returns requestedMS as a duration, or Timeout if requestedMS is
// zero or exceeds it.
func (r Rules) TimeoutFor(requestedMS uint32) time.Duration {
	if requested := time.Duration(requestedMS) * time.Millisecond; requested > 0 && requested < r.Timeout() {
		return requested
	}

	return r.Timeout()
}

// PartialWait returns PartialWaitMS as a duration.
func (r Rules) PartialWait() time.Duration { return time.Duration(r.PartialWaitMS) * time.Millisecond }

// Validate returns an error for the first invalid field.
func (r Rules) Validate() error {
	switch {
	case r.TimeoutMS == 0 || r.TimeoutMS > MaxTimeoutMS:
		return invalid("timeout_ms", "is %d; must be 1 to %d", r.TimeoutMS, MaxTimeoutMS)
	case r.MaxAttempts == 0 || r.MaxAttempts > MaxAttempts:
		return invalid("max_attempts", "is %d; must be 1 to %d", r.MaxAttempts, MaxAttempts)
	case r.ExtraLoadPermille > MaxExtraLoadPermille:
		return invalid("extra_load_permille", "is %d; at most %d is allowed", r.ExtraLoadPermille, MaxExtraLoadPermille)
	case r.MinCoveragePermille == 0 || r.MinCoveragePermille > Permille:
		return invalid("min_coverage_permille", "is %d; must be 1 to %d", r.MinCoveragePermille, Permille)
	case r.PartialWaitMS > r.TimeoutMS:
		return invalid("partial_wait_ms", "is %d, which is longer than timeout_ms (%d)", r.PartialWaitMS, r.TimeoutMS)
	case !r.Repeatable && !r.NonRepeatable:
		return invalid("repeatable", "repeatable and non_repeatable are both false, so no request would be allowed")
	case r.Hedging && r.MaxAttempts < 2:
		return invalid("hedging", "needs max_attempts of at least 2")
	}

	return nil
}

// Service is a search service: its data, its searchers and its rules.
type Service struct {
	Name string `json:"name"`
	// Version is raised by each accepted change to this service.
	Version      uint64       `json:"version"`
	PartitionMap PartitionMap `json:"partition_map"`
	Rules        Rules        `json:"rules"`
}

// Validate returns an error for the first invalid field.
func (s Service) Validate() error {
	if err := CheckName("name", s.Name); err != nil {
		return err
	}

	if err := s.PartitionMap.Validate(); err != nil {
		return InField("partition_map", err)
	}

	if err := s.Rules.Validate(); err != nil {
		return InField("rules", err)
	}

	return nil
}

// UnmarshalJSON decodes and checks a service.
func (s *Service) UnmarshalJSON(data []byte) error {
	type plain Service

	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Annotate(err, "decode service")
	}

	if err := Service(p).Validate(); err != nil {
		return err
	}

	*s = Service(p)

	return nil
}

// WithVersion returns a copy with another version.
func (s Service) WithVersion(v uint64) Service {
	s.Version = v

	return s
}

// WithDraining returns a copy in which searcher id is draining or not, and
// whether the service has such a searcher.
func (s Service) WithDraining(id string, draining bool) (Service, bool) {
	found := false
	shards := make([]Shard, len(s.PartitionMap.Shards))

	for i, sh := range s.PartitionMap.Shards {
		searchers := make([]Searcher, len(sh.Searchers))
		copy(searchers, sh.Searchers)

		for j := range searchers {
			if searchers[j].ID == id {
				searchers[j].Draining = draining
				found = true
			}
		}

		shards[i] = Shard{Number: sh.Number, Searchers: searchers}
	}

	s.PartitionMap = PartitionMap{Version: s.PartitionMap.Version, Shards: shards}

	return s, found
}
