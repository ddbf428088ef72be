package domain

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a route table or a registration that changes when an instance
// passes it on to another.
func TestJSONRoundTrip(t *testing.T) {
	table := RouteTable{
		Version: 9, Limits: CallerLimits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: time.Second, IdleTimeout: time.Minute},
		Pools: []Pool{{Name: "p", HealthPath: "/h", Connections: 26}},
		Routes: []Route{
			{
				Name: "all", Host: "h", PathPrefix: "/a/", Repeatable: true, Timeout: 3 * time.Second, MaxAttempts: 3, Priority: 1,
				LatencyObjective: 200 * time.Millisecond, Shards: []string{"p", "q"}, TopRecords: 50, MinCoverage: 0.89,
			},
			{
				Name: "one", Host: "h", PathPrefix: "/b/", Timeout: time.Second, MaxAttempts: 1,
				Split: []WeightedPool{{Pool: "p", Weight: 3}, {Pool: "q", Weight: 1}},
			},
		},
	}

	data, err := json.Marshal([]*RouteTable{&table})
	require.NoError(t, err)

	var tables []RouteTable

	require.NoError(t, json.Unmarshal(data, &tables))
	require.Equal(t, []RouteTable{table}, tables)
	require.Equal(t, table.Routes[0].Fingerprint(), tables[0].Routes[0].Fingerprint())

	want := Registration{
		ID: "i", Pool: "p", Address: "127.0.0.1:7", FailureDomain: "a", Slots: 2, Draining: true, Started: 1_780_000_000_123, Sequence: 1 << 60,
	}

	data, err = json.Marshal(want)
	require.NoError(t, err)

	var got Registration

	require.NoError(t, json.Unmarshal(data, &got))
	require.Equal(t, want, got)
}

// Guards against a value from another instance that is used without validation,
// and against an error that doesn't name the field.
func TestDecodeErrorsNameTheField(t *testing.T) {
	for text, field := range map[string]string{
		`{"version": 0}`: "version",
		`{"version": 2, "routes": [{"name": "r", "host": "h", "path_prefix": "/a"}]}`: "routes[r].path_prefix",
	} {
		var (
			table RouteTable
			e     *Error
		)

		require.ErrorAs(t, json.Unmarshal([]byte(text), &table), &e, text)
		require.Equal(t, field, e.Field)
	}

	var (
		r Registration
		e *Error
	)

	require.ErrorAs(t, json.Unmarshal([]byte(`{"id": "i", "pool": "p", "slots": 1, "address": "x"}`), &r), &e)
	require.Equal(t, "address", e.Field)
	require.Error(t, json.Unmarshal([]byte(`{"id": 7}`), &r))
}
