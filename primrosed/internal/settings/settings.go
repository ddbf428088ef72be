// Package settings reads and validates the JSON settings of an entry instance.
// Unknown fields, invalid values and contradictions are refused with the path of
// the field and the reason.
package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/juju/errors"

	"primrosespring.example/internal/domain"
)

// Settings are the settings that an instance reads at its start.
type Settings struct {
	// ID names the instance; it must be unique in the fleet.
	ID string `json:"id"`
	// FailureDomain is the failure domain that the instance runs in.
	FailureDomain string `json:"failure_domain"`
	// Region is the region that the instance runs in.
	Region string `json:"region"`
	// CallerAddress serves callers; IP address and port.
	CallerAddress string `json:"caller_address"`
	// OperatorAddress serves operators; IP address and port.
	OperatorAddress string `json:"operator_address"`
	// PeerAddress is where the other instances reach this one; IP address and port.
	PeerAddress string `json:"peer_address"`
	// PeerListenAddress is what the instance listens on if the others reach
	// peer_address through a forwarder; if empty, it listens on peer_address.
	PeerListenAddress string `json:"peer_listen_address"`
	// HealthAddress serves the balancer; IP address and port.
	HealthAddress string `json:"health_address"`
	// DebugAddress serves metrics and profiles; IP address and port.
	DebugAddress string `json:"debug_address"`
	// PlatformAddress is the platform's object API; IP address and port.
	PlatformAddress string `json:"platform_address"`
	// Seeds are the peer addresses of instances to connect to first, in addition
	// to those of the platform's list; IP addresses and ports.
	Seeds []string `json:"seeds"`
	Log   Log      `json:"log"`
	Stop  Stop     `json:"stop"`
}

// Log determines what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Routing enables a log line for each routing decision.
	Routing bool `json:"routing"`
}

// Stop holds the times of a graceful shutdown.
type Stop struct {
	// BalancerDelayMS is how long the instance still accepts requests after it
	// has reported to the balancer that it isn't ready, in milliseconds.
	BalancerDelayMS uint32 `json:"balancer_delay_ms"`
	// MaxWaitMS bounds the wait for requests in progress, which begins after
	// balancer_delay_ms, in milliseconds.
	MaxWaitMS uint32 `json:"max_wait_ms"`
}

func (l Log) validate() error {
	if !slices.Contains(levels, l.Level) {
		return invalid("level", "%q must be debug, info, warn or error", l.Level)
	}

	return nil
}

func (s Stop) validate() error {
	if s.MaxWaitMS > maxWaitLimitMS {
		return invalid("max_wait_ms", "is %d; at most %d is allowed", s.MaxWaitMS, maxWaitLimitMS)
	}

	if s.BalancerDelayMS > s.MaxWaitMS {
		return invalid("balancer_delay_ms", "is %d, which is longer than max_wait_ms (%d)", s.BalancerDelayMS, s.MaxWaitMS)
	}

	return nil
}

func invalid(field, format string, args ...any) error {
	e := domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "check", format, args...)
	e.Field = field

	return e
}

var levels = []string{"debug", "info", "warn", "error"}

const (
	maxWaitLimitMS         = 600_000
	defaultLevel           = "info"
	defaultBalancerDelayMS = 2000
	defaultMaxWaitMS       = 70_000
	maxSettingsBytes       = 64 << 10
)

// Load reads and validates the settings in file.
func Load(file string) (Settings, error) {
	f, err := os.Open(file)
	if err != nil {
		return Settings{}, errors.Annotate(err, "open settings")
	}
	defer func() { _ = f.Close() }()

	data, err := io.ReadAll(io.LimitReader(f, maxSettingsBytes))
	if err != nil {
		return Settings{}, errors.Annotate(err, "read settings")
	}

	return Decode(data)
}

// Decode decodes and validates settings; optional fields default if missing.
func Decode(data []byte) (Settings, error) {
	s := Settings{
		Seeds: []string{},
		Log:   Log{Level: defaultLevel, Routing: true},
		Stop:  Stop{BalancerDelayMS: defaultBalancerDelayMS, MaxWaitMS: defaultMaxWaitMS},
	}

	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()

	if err := d.Decode(&s); err != nil {
		return Settings{}, errors.Annotate(err, "decode settings")
	}

	if d.More() {
		return Settings{}, errors.New("decode settings: more than one JSON value")
	}

	return s, s.Validate()
}

// Validate returns an error for the first invalid field.
func (s Settings) Validate() error {
	if err := s.Instance().Validate(); err != nil {
		return err
	}

	if err := s.Log.validate(); err != nil {
		return domain.InField("log", err)
	}

	if err := s.Stop.validate(); err != nil {
		return domain.InField("stop", err)
	}

	for i, a := range s.Seeds {
		if err := domain.CheckAddress(fmt.Sprintf("seeds[%d]", i), a); err != nil {
			return err
		}
	}

	return s.validateAddresses()
}

// validateAddresses checks that each address is valid and used only once.
func (s Settings) validateAddresses() error {
	seen := make(map[string]string)

	addresses := []struct{ field, address string }{
		{"caller_address", s.CallerAddress},
		{"operator_address", s.OperatorAddress},
		{"peer_address", s.PeerAddress},
		{"health_address", s.HealthAddress},
		{"debug_address", s.DebugAddress},
		{"platform_address", s.PlatformAddress},
	}
	if s.PeerListenAddress != "" {
		addresses = append(addresses, struct{ field, address string }{"peer_listen_address", s.PeerListenAddress})
	}

	for _, a := range addresses {
		if err := domain.CheckAddress(a.field, a.address); err != nil {
			return err
		}

		if other, ok := seen[a.address]; ok {
			return invalid(a.field, "is the same address as %s", other)
		}

		seen[a.address] = a.field
	}

	return nil
}

// PeerBindAddress returns the address to listen on for the other instances.
func (s Settings) PeerBindAddress() string { return cmp.Or(s.PeerListenAddress, s.PeerAddress) }

// Instance returns the identity of the instance with these settings.
func (s Settings) Instance() domain.Instance {
	return domain.Instance{ID: s.ID, PeerAddress: s.PeerAddress, FailureDomain: s.FailureDomain, Region: s.Region}
}
