package domain

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Pool is a named group of interchangeable searchers. A pool is one shard of
// a gathered route, or the whole target of any other route.
type Pool struct {
	Name string `json:"name"`
	// HealthPath is the path of the searchers' health check.
	HealthPath string `json:"health_path"`
	// Connections is how many connections one searcher accepts from all
	// instances.
	Connections uint32 `json:"connections"`
}

// WeightedPool is one alternative of a traffic split. Only the proportions of the weights count.
type WeightedPool struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight"`
}

// Route sends the requests of one host and path prefix to searchers.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"path_prefix"`
	// Repeatable requests may run more than once.
	Repeatable bool `json:"repeatable"`
	// Timeout bounds how long a caller waits for its answer.
	Timeout time.Duration `json:"timeout_ns"`
	// LatencyObjective is the target latency, within which an answer earns full
	// credit; zero means that there is none.
	LatencyObjective time.Duration `json:"latency_objective_ns"`
	// MaxAttempts bounds the searchers that one request may be sent to, for each
	// shard.
	MaxAttempts uint32 `json:"max_attempts"`
	// Priority ranks routes; 0 is the highest.
	Priority uint32 `json:"priority"`
	// KeyExempt requests need no key, whatever RouteTable.KeysRequired says.
	KeyExempt bool `json:"key_exempt,omitempty"`
	// Split names the pools that share the requests; a single pool gets them all.
	// It is empty for a gathered route.
	Split []WeightedPool `json:"split,omitempty"`
	// Shards names one pool for each shard of a gathered route.
	Shards []string `json:"shards,omitempty"`
	// TopRecords is how many records a gathered answer holds at most.
	TopRecords int `json:"top_records,omitempty"`
	// MinCoverage is the least share of shards that a gathered answer must include.
	MinCoverage float64 `json:"min_coverage,omitempty"`
	// Unusable says that the configuration has the route, but in a form that can't be used. Its requests
	// are refused, and don't match a shorter prefix.
	Unusable bool `json:"unusable,omitempty"`
}

// Validate returns an error for the first invalid field.
func (r Route) Validate() error {
	switch {
	case r.Name == "":
		return invalid("name", "must not be empty")
	case r.Host == "":
		return invalid("host", "must not be empty")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return invalid("path_prefix", "%q must begin and end with a slash", r.PathPrefix)
	case r.Unusable:
		return nil
	case r.Timeout <= 0:
		return invalid("timeout", "is %s; must be positive", r.Timeout)
	case r.MaxAttempts == 0:
		return invalid("max_attempts", "must be at least 1")
	case (len(r.Split) == 0) == (len(r.Shards) == 0):
		return invalid("split", "exactly one of split and shards must be set")
	case r.MinCoverage < 0 || r.MinCoverage > 1:
		return invalid("min_coverage", "is %g; must be 0 to 1", r.MinCoverage)
	case len(r.Shards) > MaxShards:
		return invalid("shards", "has %d entries; at most %d are allowed", len(r.Shards), MaxShards)
	}

	for _, w := range r.Split {
		if !(w.Weight >= 0) || math.IsInf(w.Weight, 0) {
			return invalid("split", "the weight of %s is %g; must be a number of at least 0", w.Pool, w.Weight)
		}
	}

	return nil
}

// Fingerprint returns a hash of all fields, by which two instances can tell
// whether they would handle a request alike.
func (r *Route) Fingerprint() uint64 {
	var (
		d xxhash.Digest
		b []byte
	)

	d.Reset()

	for _, s := range []string{r.Name, r.Host, r.PathPrefix} {
		b = append(append(b, s...), 0)
	}

	for _, n := range []uint64{
		uint64(r.Timeout), uint64(r.LatencyObjective), uint64(r.MaxAttempts), uint64(r.Priority), uint64(r.TopRecords),
		math.Float64bits(r.MinCoverage),
	} {
		b = binary.LittleEndian.AppendUint64(b, n)
	}

	b = strconv.AppendBool(b, r.Repeatable)
	if r.KeyExempt {
		b = append(b, "key exempt"...)
	}

	for _, w := range r.Split {
		b = binary.LittleEndian.AppendUint64(append(append(b, w.Pool...), 0), math.Float64bits(w.Weight))
	}

	for _, name := range r.Shards {
		b = append(append(b, name...), 0)
	}

	_, _ = d.Write(b) // Digest.Write never fails.

	return d.Sum64()
}

// Gathered reports whether a request goes to every shard of the route.
func (r *Route) Gathered() bool { return len(r.Shards) > 0 }

// CallerLimits bound what a caller may send; zero means no bound.
type CallerLimits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout_ns"`
	IdleTimeout   time.Duration `json:"idle_timeout_ns"`
}

// RouteTable is a version of the routing configuration. It is immutable; its
// zero value stands for no configuration at all.
type RouteTable struct {
	Version uint64       `json:"version"`
	Routes  []Route      `json:"routes"`
	Pools   []Pool       `json:"pools"`
	Limits  CallerLimits `json:"limits"`
	// KeysRequired says that requests need the key of one of Members, unless their route is
	// exempt. It holds also if there are no members.
	KeysRequired bool     `json:"keys_required,omitempty"`
	Members      []Member `json:"members,omitempty"`
}

// Validate returns an error for the first invalid field.
func (t RouteTable) Validate() error {
	if t.Version == 0 {
		return invalid("version", "must be at least 1")
	}

	for i := range t.Routes {
		if err := t.Routes[i].Validate(); err != nil {
			return InField("routes["+t.Routes[i].Name+"]", err)
		}
	}

	_, err := t.MembersByKey()

	return err
}

// MembersByKey returns the member organisations by the digests of their keys. It returns an
// error for the first invalid member, or that has the name or a key of one before.
func (t *RouteTable) MembersByKey() (map[KeyDigest]*Member, error) {
	byKey := make(map[KeyDigest]*Member)
	names := make(map[string]bool, len(t.Members))

	for i := range t.Members {
		m := &t.Members[i]
		field := "members[" + m.Name + "]"

		if err := m.Validate(); err != nil {
			return nil, InField(field, err)
		}

		if names[m.Name] {
			return nil, invalid(field, "is there twice")
		}

		names[m.Name] = true

		for j, k := range m.Keys {
			if o := byKey[k]; o != nil && o != m {
				return nil, invalid(field+".keys", "entry %d is a key of %s too", j, o.Name)
			}

			byKey[k] = m
		}
	}

	return byKey, nil
}

// UnmarshalJSON decodes and checks a route table.
func (t *RouteTable) UnmarshalJSON(data []byte) error {
	type plain RouteTable

	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Annotate(err, "decode route table")
	}

	if err := RouteTable(p).Validate(); err != nil {
		return err
	}

	*t = RouteTable(p)

	return nil
}

// Match returns the index of the route with the longest prefix of path among
// those of host.
func (t *RouteTable) Match(host, path string) (int, bool) {
	best := -1

	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.PathPrefix) &&
			(best < 0 || len(r.PathPrefix) > len(t.Routes[best].PathPrefix)) {
			best = i
		}
	}

	return best, best >= 0
}

// MinGatherConnections returns the least number of connections that a searcher
// of a gathered route accepts, or 0 if there is no such route.
func (t *RouteTable) MinGatherConnections() int {
	least := 0

	for i := range t.Routes {
		for _, name := range t.Routes[i].Shards {
			if p, ok := t.Pool(name); ok && (least == 0 || int(p.Connections) < least) {
				least = int(p.Connections)
			}
		}
	}

	return least
}

// Pool returns the pool of that name.
func (t *RouteTable) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(t.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}

	return t.Pools[i], true
}

// Registration is what a searcher writes to the store about itself.
type Registration struct {
	ID            string `json:"id"`
	Pool          string `json:"pool"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Slots         uint32 `json:"slots"`
	Draining      bool   `json:"draining"`
	// Started is the start of the searcher's process in Unix milliseconds, which
	// distinguishes incarnations of one id; zero if the searcher doesn't report it.
	Started int64 `json:"started"`
	// Sequence counts the registrations of one incarnation.
	Sequence uint64 `json:"sequence"`
}

// Validate returns an error for the first invalid field.
func (r Registration) Validate() error {
	switch {
	case r.ID == "":
		return invalid("id", "must not be empty")
	case r.Pool == "":
		return invalid("pool", "must not be empty")
	case r.Slots == 0 || r.Slots > MaxSlots:
		return invalid("slots", "is %d; must be 1 to %d", r.Slots, MaxSlots)
	}

	return CheckAddress("address", r.Address)
}

// UnmarshalJSON decodes and checks a registration.
func (r *Registration) UnmarshalJSON(data []byte) error {
	type plain Registration

	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Annotate(err, "decode registration")
	}

	if err := Registration(p).Validate(); err != nil {
		return err
	}

	*r = Registration(p)

	return nil
}

// Supersedes reports whether r is the same registration of the searcher as o or
// a later one. A write that the store applied late may bring back an earlier one.
func (r Registration) Supersedes(o Registration) bool {
	if r.Started != o.Started {
		return r.Started > o.Started
	}

	return r.Sequence >= o.Sequence
}
