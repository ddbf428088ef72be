package domain

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

const goodService = `{
  "name": "portal-inst", "version": 1,
  "partition_map": {"version": 1, "shards": [
    {"number": 0, "searchers": [
      {"id": "p0a", "address": "127.0.0.1:7100", "failure_domain": "gt-centro-a", "slots": 2, "connections": 25},
      {"id": "p0b", "address": "127.0.0.1:7101", "failure_domain": "gt-centro-b", "slots": 2, "connections": 25}]}]},
  "rules": {"timeout_ms": 500, "max_attempts": 3, "min_coverage_permille": 1000, "repeatable": true}
}`

// TestServiceDecode guards against a decoder that accepts a service which can't
// work, and against an error that doesn't name the field.
func TestServiceDecode(t *testing.T) {
	var good Service

	require.NoError(t, json.Unmarshal([]byte(goodService), &good))

	for name, c := range map[string]struct {
		change func(*Service)
		field  string
	}{
		"name":          {func(s *Service) { s.Name = "Portal" }, "name"},
		"long name":     {func(s *Service) { s.Name = string(make([]byte, 64)) }, "name"},
		"map version":   {func(s *Service) { s.PartitionMap.Version = 0 }, "partition_map.version"},
		"no shards":     {func(s *Service) { s.PartitionMap.Shards = nil }, "partition_map.shards"},
		"shard number":  {func(s *Service) { s.PartitionMap.Shards[0].Number = 4 }, "partition_map.shards[0].number"},
		"no searchers":  {func(s *Service) { s.PartitionMap.Shards[0].Searchers = nil }, "partition_map.shards[0].searchers"},
		"same searcher": {func(s *Service) { s.PartitionMap.Shards[0].Searchers[1].ID = "p0a" }, "partition_map.shards[0].searchers[1].id"},
		"same address": {
			func(s *Service) { s.PartitionMap.Shards[0].Searchers[1].Address = "127.0.0.1:7100" },
			"partition_map.shards[0].searchers[1].address",
		},
		"host name": {
			func(s *Service) { s.PartitionMap.Shards[0].Searchers[0].Address = "localhost:1" },
			"partition_map.shards[0].searchers[0].address",
		},
		"slots":       {func(s *Service) { s.PartitionMap.Shards[0].Searchers[0].Slots = 0 }, "partition_map.shards[0].searchers[0].slots"},
		"timeout":     {func(s *Service) { s.Rules.TimeoutMS = 0 }, "rules.timeout_ms"},
		"attempts":    {func(s *Service) { s.Rules.MaxAttempts = MaxAttempts + 1 }, "rules.max_attempts"},
		"extra load":  {func(s *Service) { s.Rules.ExtraLoadPermille = 501 }, "rules.extra_load_permille"},
		"coverage":    {func(s *Service) { s.Rules.MinCoveragePermille = 1001 }, "rules.min_coverage_permille"},
		"partial":     {func(s *Service) { s.Rules.PartialWaitMS = 501 }, "rules.partial_wait_ms"},
		"no requests": {func(s *Service) { s.Rules.Repeatable = false }, "rules.repeatable"},
		"hedging":     {func(s *Service) { s.Rules.Hedging, s.Rules.MaxAttempts = true, 1 }, "rules.hedging"},
	} {
		t.Run(name, func(t *testing.T) {
			var s Service

			require.NoError(t, json.Unmarshal([]byte(goodService), &s))
			c.change(&s)

			data, err := json.Marshal(s)
			require.NoError(t, err)

			err = json.Unmarshal(data, &s)

			var e *Error

			require.ErrorAs(t, err, &e)
			require.Equal(t, c.field, e.Field)
			require.Equal(t, CodeInvalid, e.Code)
			require.Equal(t, FateNotRun, e.Fate)
		})
	}
}

// TestWithDoesNotChangeTheOriginal guards against a With method that modifies the
// configuration in use by queries.
func TestWithDoesNotChangeTheOriginal(t *testing.T) {
	var s Service

	require.NoError(t, json.Unmarshal([]byte(goodService), &s))

	cfg := Configuration{}.WithService(s).WithMember(Member{Name: "agreca", Weight: 2})
	before, err := json.Marshal(cfg)
	require.NoError(t, err)

	drained, found := s.WithDraining("p0b", true)
	require.True(t, found)

	changed := cfg.WithService(drained).WithMember(Member{Name: "agreca", Weight: 9}).WithVersion(7)
	require.Equal(t, Member{Name: "agreca", Weight: 9}, changed.Member("agreca"))
	require.Equal(t, changed.Member("made-up"), changed.Member("made-up-too"), "unconfigured names must map to one member")
	require.Empty(t, changed.WithoutService("portal-inst").Services)

	after, err := json.Marshal(cfg)
	require.NoError(t, err)
	require.Equal(t, string(before), string(after))
}

// FuzzConfiguration guards against a decoder that panics or that accepts an
// invalid configuration.
func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(`{"version": 1, "services": [` + goodService + `], "members": [{"name": "a", "weight": 1}]}`))
	f.Add([]byte(`{"services": [{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var c Configuration
		if err := json.Unmarshal(data, &c); err != nil {
			return
		}

		require.NoError(t, c.Validate())
	})
}

// TestZeroFateIsUnknown guards against an error that claims "not run" although
// its fate was never set.
func TestZeroFateIsUnknown(t *testing.T) {
	require.Equal(t, "unknown", (&Error{}).Fate.String())
	require.ErrorIs(t, (&Error{}).WithCause(errors.ErrUnsupported), errors.ErrUnsupported)
}
