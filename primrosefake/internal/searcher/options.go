package searcher

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"primrosespring.example/internal/domain"
)

// StatusMode says what GetStatus reports.
type StatusMode string

// The modes of GetStatus.
const (
	// StatusTrue reports the state as of StatusLagMS ago.
	StatusTrue StatusMode = "true"
	// StatusHealthy always reports a healthy searcher without load.
	StatusHealthy StatusMode = "healthy"
	// StatusUnhealthy always reports an unhealthy searcher.
	StatusUnhealthy StatusMode = "unhealthy"
)

// Options describe one searcher. Times are in milliseconds. A limit of 0 means
// no limit, and a factor of 0 means 1.
type Options struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	// Slots is the number of requests run at once.
	Slots      int `json:"slots"`
	QueueLimit int `json:"queue_limit"`
	// ShedLate refuses a request whose time left doesn't cover the expected
	// wait and service time.
	ShedLate bool `json:"shed_late"`
	// MedianMS and Sigma describe the log-normal service time.
	MedianMS float64 `json:"median_ms"`
	Sigma    float64 `json:"sigma"`
	// StragglerShare is the share of the requests whose service time is
	// multiplied by StragglerFactor.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// SlowFactor multiplies the service time of every request.
	SlowFactor float64 `json:"slow_factor"`
	// ColdFactor multiplies the service time of the first request; the factor
	// falls linearly to 1 over ColdRequests requests.
	ColdFactor   float64 `json:"cold_factor"`
	ColdRequests int     `json:"cold_requests"`
	// RateLimit is the limit that every answer names, in requests a second from all
	// instances together; 0 names none. It isn't enforced.
	RateLimit float64 `json:"rate_limit"`
	// PauseMS, unless 0, refuses every request and asks its sender for a pause of that length.
	PauseMS float64 `json:"pause_ms"`
	// ConnectionLimit bounds the open connections; more are closed on accept.
	ConnectionLimit int `json:"connection_limit"`
	// SetupMS is the delay before a new connection is first read.
	SetupMS     float64    `json:"setup_ms"`
	StatusMode  StatusMode `json:"status_mode"`
	StatusLagMS float64    `json:"status_lag_ms"`
	Seed        uint64     `json:"seed"`
	// Snapshots are those of Shard that the searcher holds at its start.
	Snapshots []domain.Snapshot `json:"snapshots"`
}

// DefaultOptions returns the defaults of a searchers file.
func DefaultOptions() Options {
	return Options{
		Address: "127.0.0.1:0", Slots: 2, MedianMS: 5, Sigma: 0.5, StragglerFactor: 20, StatusMode: StatusTrue,
		Seed: 1, Snapshots: []domain.Snapshot{{IndexVersion: 1, PartitionMapVersion: 1}},
	}
}

// Validate returns an error for the first invalid option.
func (o *Options) Validate() error {
	switch {
	case o.ID == "":
		return errors.New("id is empty")
	case o.Slots < 1:
		return errors.New("slots must be at least 1")
	case o.QueueLimit < 0 || o.ConnectionLimit < 0 || o.ColdRequests < 0:
		return errors.New("queue_limit, connection_limit or cold_requests is negative")
	case o.RateLimit < 0 || o.PauseMS < 0:
		return errors.New("rate_limit or pause_ms is negative")
	case o.MedianMS < 0 || o.Sigma < 0 || o.SetupMS < 0 || o.StatusLagMS < 0:
		return errors.New("median_ms, sigma, setup_ms or status_lag_ms is negative")
	case o.StragglerShare < 0 || o.StragglerShare > 1:
		return errors.New("straggler_share is outside 0 to 1")
	case o.StragglerFactor < 0 || o.SlowFactor < 0 || o.ColdFactor < 0:
		return errors.New("straggler_factor, slow_factor or cold_factor is negative")
	}

	switch o.StatusMode {
	case "", StatusTrue, StatusHealthy, StatusUnhealthy:
		return nil
	default:
		return errors.Errorf("status_mode %q is unknown", o.StatusMode)
	}
}

// File lists the searchers that one process runs.
type File struct {
	// ControlAddress serves the control API of all the searchers.
	ControlAddress string    `json:"control_address"`
	Searchers      []Options `json:"searchers"`
}

// UnmarshalJSON decodes a file. Each searcher starts from the file's field
// "defaults", which starts from DefaultOptions.
func (f *File) UnmarshalJSON(b []byte) error {
	raw := struct {
		ControlAddress string            `json:"control_address"`
		Defaults       Options           `json:"defaults"`
		Searchers      []json.RawMessage `json:"searchers"`
	}{Defaults: DefaultOptions()}
	if err := json.Unmarshal(b, &raw); err != nil {
		return err
	}

	f.ControlAddress = raw.ControlAddress
	f.Searchers = make([]Options, len(raw.Searchers))

	for i, r := range raw.Searchers {
		o, err := raw.Defaults.patch(r)
		if err != nil {
			return errors.Annotatef(err, "searchers[%d]", i)
		}

		f.Searchers[i] = o
	}

	return nil
}

// patch returns a copy of o with the fields of the JSON object b replaced.
func (o *Options) patch(b []byte) (Options, error) {
	c := *o
	// Decoding into the shared slice would overwrite the defaults.
	c.Snapshots = append([]domain.Snapshot(nil), o.Snapshots...)

	if err := json.Unmarshal(b, &c); err != nil {
		return Options{}, err
	}

	return c, c.Validate()
}

// Faults are the faults of a searcher that the control API sets. Each PUT
// replaces them all.
type Faults struct {
	// Freeze accepts connections and neither reads nor writes on any.
	Freeze bool `json:"freeze"`
	// Silent permanently silences the connections that are open at the time of
	// the call; later ones work.
	Silent bool `json:"silent"`
	// Refuse closes the listener and every connection, as a killed process
	// does. When it is cleared, the searcher starts cold and isn't draining.
	Refuse bool `json:"refuse"`
	// CorruptShare is the share of responses that are corrupted or truncated
	// after their checksum was set.
	CorruptShare float64 `json:"corrupt_share"`
	// CrossedShare is the share of responses that are those to another request.
	CrossedShare float64 `json:"crossed_share"`
	// LateShare is the share of responses that are delayed by LateMS.
	LateShare float64 `json:"late_share"`
	LateMS    float64 `json:"late_ms"`
}

func (f *Faults) validate() error {
	for _, v := range []float64{f.CorruptShare, f.CrossedShare, f.LateShare} {
		if v < 0 || v > 1 {
			return errors.New("corrupt_share, crossed_share or late_share is outside 0 to 1")
		}
	}

	if f.LateMS < 0 {
		return errors.New("late_ms is negative")
	}

	return nil
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

func factorOrOne(f float64) float64 {
	if f == 0 {
		return 1
	}

	return f
}
