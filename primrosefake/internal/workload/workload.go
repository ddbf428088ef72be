// Package workload describes what a run of the load command does: the services
// and their searchers, the instances, the delays between failure domains, the
// load and the faults. A workload is a JSON file; several are built in.
package workload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"primrosespring.example/internal/domain"
)

// Limits of a workload, so that a run fits on one machine.
const (
	MaxFileBytes     = 1 << 20
	MaxDurationMS    = 600_000
	MaxSearchers     = 2600
	MaxInstances     = 440
	MaxQueriesPerSec = 20_000
	MaxFaults        = 1000
	MaxDelayUS       = 1_000_000
	MaxMedianUS      = 10_000_000
	maxSlowFactor    = 1000
	maxSlotsPermille = 10_000
	permille         = 1000
)

// Workload describes one run. Times are counted from the start of the load.
type Workload struct {
	Name string `json:"name"`
	// Seed determines the arrivals, the choices of the callers and of the baseline,
	// the service times, and the calls that the store's faults apply to.
	Seed       uint64 `json:"seed"`
	DurationMS uint32 `json:"duration_ms"`
	// WarmUpMS is how long the load runs before its answers are counted, in
	// milliseconds. Answers of the warm-up are checked too.
	WarmUpMS uint32 `json:"warm_up_ms"`
	// Region holds every failure domain.
	Region         string     `json:"region"`
	FailureDomains []string   `json:"failure_domains"`
	Instances      []Instance `json:"instances"`
	Delays         Delays     `json:"delays"`
	// PeerLinks puts a link of the fault proxy before the peer address of each
	// instance, so that instances can be partitioned.
	PeerLinks bool      `json:"peer_links,omitempty"`
	Services  []Service `json:"services"`
	Load      Load      `json:"load"`
	Faults    []Fault   `json:"faults"`
}

// Instance is one process of primrosed.
type Instance struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// Region replaces the region of the workload if it isn't empty.
	Region string `json:"region,omitempty"`
}

// Delays are the one-way delays of the links, in microseconds.
type Delays struct {
	// BetweenFailureDomainsUS applies between two failure domains.
	BetweenFailureDomainsUS uint32 `json:"between_failure_domains_us"`
	// ToClientsUS applies between callers and instances.
	ToClientsUS uint32 `json:"to_clients_us"`
	// JitterUS is the most that is added to a delay.
	JitterUS uint32 `json:"jitter_us"`
}

// Any reports whether any link has a delay.
func (d Delays) Any() bool {
	return d.BetweenFailureDomainsUS > 0 || d.ToClientsUS > 0 || d.JitterUS > 0
}

// Service is a search service with its searchers.
type Service struct {
	Name              string `json:"name"`
	Shards            uint32 `json:"shards"`
	SearchersPerShard uint32 `json:"searchers_per_shard"`
	// Slots is how many requests each searcher runs at once, Connections its limit
	// on open connections.
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	// SetUpUS is the time to open a connection, in microseconds.
	SetUpUS uint32 `json:"set_up_us"`
	// MedianUS and Sigma describe the log-normal service time.
	MedianUS uint32  `json:"median_us"`
	Sigma    float64 `json:"sigma"`
	// StragglerPermille of the attempts take StragglerFactor times as long.
	StragglerPermille uint32       `json:"straggler_permille"`
	StragglerFactor   float64      `json:"straggler_factor"`
	Rules             domain.Rules `json:"rules"`
}

// MeanServiceTime returns the mean of the service time, stragglers included.
func (s Service) MeanServiceTime() time.Duration {
	mean := float64(s.MedianUS) * math.Exp(s.Sigma*s.Sigma/2)
	share := float64(s.StragglerPermille) / permille
	mean *= 1 + share*(s.StragglerFactor-1)

	return time.Duration(mean * float64(time.Microsecond))
}

// Capacity returns the queries a second at which every slot of a shard is
// busy.
func (s Service) Capacity() float64 {
	return float64(s.SearchersPerShard*s.Slots) / s.MeanServiceTime().Seconds()
}

// Load is what the callers send. Exactly one of QueriesPerSecond and
// SlotsPermille is set.
type Load struct {
	// QueriesPerSecond is the rate over all services, which share it in proportion
	// to the weights of Mix.
	QueriesPerSecond float64 `json:"queries_per_second,omitempty"`
	// SlotsPermille is the share of each service's own slots that is kept
	// busy; a weight in Mix scales it.
	SlotsPermille uint32 `json:"slots_permille,omitempty"`
	// TimeoutMS is how long a caller waits, in milliseconds.
	TimeoutMS uint32 `json:"timeout_ms"`
	// Connections is how many connections the callers keep open to each
	// address.
	Connections uint32   `json:"connections"`
	Mix         []Part   `json:"mix"`
	Members     []Member `json:"members"`
	// RepeatPermille of the non-repeatable requests have an early timeout; after it
	// or an error, the caller sends them again under the same key.
	RepeatPermille uint32 `json:"repeat_permille"`
}

// Timeout returns TimeoutMS as a duration.
func (l Load) Timeout() time.Duration { return time.Duration(l.TimeoutMS) * time.Millisecond }

// Part is the share of one service in the load.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
	// NonRepeatablePermille of the requests are sent by Execute.
	NonRepeatablePermille uint32 `json:"non_repeatable_permille"`
}

// Member is a member organisation with its share of the load.
type Member struct {
	Name string `json:"name"`
	// Weight is the configured share of capacity.
	Weight uint32 `json:"weight"`
	// LoadPermille is the share of the load that it sends.
	LoadPermille uint32 `json:"load_permille"`
}

// Kind names a fault.
type Kind string

// The kinds of faults.
const (
	// StragglingSearcher makes one searcher slower by SlowFactor.
	StragglingSearcher Kind = "straggling_searcher"
	// LostSearcher makes one searcher refuse connections.
	LostSearcher Kind = "lost_searcher"
	// SilentSearcher makes one searcher accept connections and answer nothing.
	SilentSearcher Kind = "silent_searcher"
	// SilentConnections makes the open connections of one searcher permanently
	// silent; new ones work.
	SilentConnections Kind = "silent_connections"
	// SheddingSearcher leaves one searcher one slot and a queue of one, and
	// makes it slower by SlowFactor.
	SheddingSearcher Kind = "shedding_searcher"
	// CorruptAnswers, CrossedAnswers and LateAnswers make half of the answers of
	// one searcher corrupt, belong to another request, or arrive late.
	CorruptAnswers Kind = "corrupt_answers"
	CrossedAnswers Kind = "crossed_answers"
	LateAnswers    Kind = "late_answers"
	// DrainingSearcher makes one searcher drain, and restart at the end.
	DrainingSearcher Kind = "draining_searcher"
	// LostShard makes every searcher of one shard refuse connections.
	LostShard Kind = "lost_shard"
	// IndexSwitch moves the searchers of a service to IndexVersion.
	IndexSwitch Kind = "index_switch"
	// StoreOutage makes the platform's store answer every call with an error.
	StoreOutage Kind = "store_outage"
	// StoreHang makes the store answer nothing.
	StoreHang Kind = "store_hang"
	// StoreSlow delays every answer of the store.
	StoreSlow Kind = "store_slow"
	// StoreAnswersLost loses the answers of half of the writes, which take
	// effect.
	StoreAnswersLost Kind = "store_answers_lost"
	// StoreStale makes half of the store's reads and watches return an older
	// version.
	StoreStale Kind = "store_stale"
	// InstancesPartitioned holds back all traffic between instances; each keeps
	// working in isolation. It needs PeerLinks.
	InstancesPartitioned Kind = "instances_partitioned"
	// SilentPeerSessions makes the open sessions between instances permanently
	// silent; new ones work. It needs PeerLinks.
	SilentPeerSessions Kind = "silent_peer_sessions"
)

// Kinds that the load command announces when they begin and end; the program
// that started the processes injects them.
const (
	// RollingRestart restarts each instance in turn.
	RollingRestart Kind = "rolling_restart"
	// InstanceRestarted stops one instance gracefully and starts it again.
	InstanceRestarted Kind = "instance_restarted"
	// InstanceKilled kills one instance, and starts it again at the end.
	InstanceKilled Kind = "instance_killed"
	// InstancePaused stops the process of one instance and continues it at the
	// end.
	InstancePaused Kind = "instance_paused"
	// PartitionMapSwitch moves every shard of a service to other searchers by
	// a new partition map.
	PartitionMapSwitch Kind = "partition_map_switch"
	// OperatorsRacing has several operators change one service at once.
	OperatorsRacing Kind = "operators_racing"
)

// Fault is one injected fault. Service, Shard and Searcher name a searcher and
// Instance an instance for the kinds that concern one.
type Fault struct {
	Kind Kind   `json:"kind"`
	AtMS uint32 `json:"at_ms"`
	// ForMS is how long it lasts; zero lasts to the end of the load.
	ForMS        uint32  `json:"for_ms,omitempty"`
	Service      string  `json:"service,omitempty"`
	Shard        uint32  `json:"shard,omitempty"`
	Searcher     uint32  `json:"searcher,omitempty"`
	Instance     uint32  `json:"instance,omitempty"`
	SlowFactor   float64 `json:"slow_factor,omitempty"`
	IndexVersion uint64  `json:"index_version,omitempty"`
}

// SearcherID returns the name of a searcher, which is the same in the
// configuration, the searchers file and the faults.
func SearcherID(service string, shard, index uint32) string {
	return fmt.Sprintf("%s-%d-%d", service, shard, index)
}

// Service returns the service of that name.
func (w *Workload) Service(name string) (*Service, bool) {
	for i := range w.Services {
		if w.Services[i].Name == name {
			return &w.Services[i], true
		}
	}

	return nil, false
}

// Rate returns the requests a second that the load sends to part.
func (w *Workload) Rate(part Part) float64 {
	if w.Load.SlotsPermille > 0 {
		s, _ := w.Service(part.Service)

		return part.Weight * s.Capacity() * float64(w.Load.SlotsPermille) / permille
	}

	var sum float64
	for _, p := range w.Load.Mix {
		sum += p.Weight
	}

	return w.Load.QueriesPerSecond * part.Weight / sum
}

// WithFaults returns a validated copy with more faults, each in JSON.
func (w *Workload) WithFaults(faults []string) (*Workload, error) {
	out := *w
	out.Faults = slices.Clone(w.Faults)

	for _, text := range faults {
		d := json.NewDecoder(strings.NewReader(text))
		d.DisallowUnknownFields()

		var f Fault
		if err := d.Decode(&f); err != nil {
			return nil, errors.Annotatef(decodeError(err), "fault %s", text)
		}

		out.Faults = append(out.Faults, f)
	}

	return &out, out.Validate()
}

// Duration returns DurationMS as a duration.
func (w *Workload) Duration() time.Duration { return time.Duration(w.DurationMS) * time.Millisecond }

// WarmUp returns WarmUpMS as a duration.
func (w *Workload) WarmUp() time.Duration { return time.Duration(w.WarmUpMS) * time.Millisecond }

// Open returns the built-in workload of that name or, if there is none, the
// workload in the file of that name.
func Open(name string) (*Workload, error) {
	if w, ok := Builtin(name); ok {
		return w, nil
	}

	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Annotatef(err, "open workload (built in are %s)", strings.Join(Names(), ", "))
	}
	defer func() { _ = f.Close() }()

	data, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "read workload")
	}

	w, err := Decode(data)
	if err != nil {
		return nil, errors.Annotatef(err, "%s", name)
	}

	return w, nil
}

// Decode decodes and validates a workload. An error is a domain.Error that names
// the invalid field and the reason.
func Decode(data []byte) (*Workload, error) {
	if len(data) > MaxFileBytes {
		return nil, invalid("", "has more than %d bytes", MaxFileBytes)
	}

	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()

	var w Workload
	if err := d.Decode(&w); err != nil {
		return nil, decodeError(err)
	}

	if d.More() {
		return nil, invalid("", "holds more than one JSON value")
	}

	if err := w.Validate(); err != nil {
		return nil, err
	}

	return &w, nil
}

func decodeError(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return invalid(t.Field, "is a %s; must be of type %s", t.Value, t.Type)
	}

	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return invalid(strings.Trim(name, `"`), "is not a known field")
	}

	return invalid("", "is not valid JSON: %v", err)
}

// invalid returns the error for an invalid field.
func invalid(field, format string, args ...any) error {
	e := domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "check workload", format, args...)
	e.Field = field

	return e
}
