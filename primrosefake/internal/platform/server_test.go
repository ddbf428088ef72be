package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	objectPath = "/v1/objects/configuration/main"
	watchPath  = objectPath + "?timeout_ms=20000&watch_after="
)

// response is what a call returned; its status is 0 if the connection was
// dropped.
type response struct {
	status int
	etag   string
	body   string
}

func call(ctx context.Context, h http.Handler, method, path, match, body string) (resp response) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // The value of a panic.
			panic(v)
		}
	}()

	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Header.Set("If-Match", match)
	r.Header.Set("X-Instance", "i1")

	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)

	return response{w.Code, w.Header().Get("ETag"), strings.TrimSpace(w.Body.String())}
}

// Guards against lost updates and against accepting values above the limit.
func TestConditionalUpdates(t *testing.T) {
	h := NewServer().Handler()

	require.Equal(t, http.StatusNotFound, call(t.Context(), h, http.MethodGet, objectPath, "", "").status)
	require.Equal(t, `"1"`, call(t.Context(), h, http.MethodPut, objectPath, `"0"`, "a").etag)
	require.Equal(t, response{http.StatusPreconditionFailed, `"1"`, "version has changed"},
		call(t.Context(), h, http.MethodPut, objectPath, `"0"`, "b"))
	require.Equal(t, `"2"`, call(t.Context(), h, http.MethodPut, objectPath, `"1"`, "c").etag)
	require.Equal(t, response{http.StatusOK, `"2"`, "c"}, call(t.Context(), h, http.MethodGet, objectPath, "", ""))

	require.Equal(t, http.StatusOK, call(t.Context(), h, http.MethodPut, objectPath, `"2"`, strings.Repeat("x", 1<<20)).status)
	require.Equal(t, http.StatusRequestEntityTooLarge,
		call(t.Context(), h, http.MethodPut, objectPath, `"3"`, strings.Repeat("x", 1<<20+1)).status)
}

// Guards against a watch that misses a change, wakes for another object or
// never ends, and against watches that aren't metered.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer()
		h := s.Handler()
		got := make(chan response, 1)
		begin := time.Now()

		go func() { got <- call(t.Context(), h, http.MethodGet, watchPath+"0", "", "") }()
		synctest.Wait()
		require.Equal(t, 1, s.meter.stats(time.Now()).Callers["i1"].Waiting)
		call(t.Context(), h, http.MethodPut, "/v1/objects/configuration/other", `"0"`, "x")
		synctest.Wait()
		require.Empty(t, got)
		call(t.Context(), h, http.MethodPut, objectPath, `"0"`, "a")
		require.Equal(t, response{http.StatusOK, `"1"`, "a"}, <-got)
		require.Equal(t, http.StatusNotModified, call(t.Context(), h, http.MethodGet, watchPath+"1", "", "").status)
		require.Equal(t, 20*time.Second, time.Since(begin))
		require.Zero(t, s.meter.stats(time.Now()).Callers["i1"].Waiting)
	})
}

// Guards against rates and totals that differ from the calls made.
func TestMeter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer()
		h := s.Handler()

		for range 20 {
			call(t.Context(), h, http.MethodGet, objectPath, "", "")
			call(t.Context(), h, http.MethodGet, objectPath, "", "")
			call(t.Context(), h, http.MethodPut, objectPath, `"7"`, "")
			time.Sleep(500 * time.Millisecond)
		}

		var r MeterStats

		require.NoError(t, json.Unmarshal([]byte(call(t.Context(), h, http.MethodGet, "/fake/meter", "", "").body), &r))
		require.Equal(t, CallStats{40, 4, 4}, r.Total.Reads)
		require.Equal(t, CallStats{20, 2, 2}, r.Callers["i1"].Writes)
		require.EqualValues(t, 20, r.Conflicts)

		time.Sleep(5 * time.Second)
		require.InDelta(t, 2, s.meter.stats(time.Now()).Total.Reads.RatePerS, 1e-9)
		call(t.Context(), h, http.MethodDelete, "/fake/meter", "", "")
		require.Zero(t, s.meter.stats(time.Now()).Total.Reads.Total)
	})
}

// Guards against a limit that isn't applied or that mixes reads and writes.
func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewServer().Handler()
		call(t.Context(), h, http.MethodPut, "/fake/limits", "", `{"reads_per_s": 2}`)

		var statuses []int
		for range 3 {
			statuses = append(statuses, call(t.Context(), h, http.MethodGet, objectPath, "", "").status)
		}

		require.Equal(t, []int{404, 404, 429}, statuses)
		require.Equal(t, http.StatusOK, call(t.Context(), h, http.MethodPut, objectPath, `"0"`, "").status)
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, http.StatusOK, call(t.Context(), h, http.MethodGet, objectPath, "", "").status)
	})
}

// Guards against a mode that answers where it shouldn't, and against a write
// whose response is lost but that wasn't applied.
func TestModes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewServer().Handler()
		set := func(body string) {
			require.Equal(t, http.StatusOK, call(t.Context(), h, http.MethodPut, "/fake/faults", "", body).status)
		}
		read := func() (response, time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()

			begin := time.Now()

			return call(ctx, h, http.MethodGet, objectPath, "", ""), time.Since(begin)
		}
		watching := make(chan response, 1)

		go func() { watching <- call(t.Context(), h, http.MethodGet, watchPath+"9", "", "") }()
		synctest.Wait()

		set(`{"mode": "down"}`)

		resp, _ := read()
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.Zero(t, (<-watching).status)

		set(`{"mode": "refuse"}`)

		resp, _ = read()
		require.Zero(t, resp.status)
		set(`{"mode": "hang"}`)

		resp, took := read()
		require.Zero(t, resp.status)
		require.Equal(t, time.Minute, took)
		set(`{"mode": "lose_write_answers"}`)
		require.Zero(t, call(t.Context(), h, http.MethodPut, objectPath, `"0"`, "a").status)
		set(`{"mode": "slow", "delay_ms": 30}`)

		resp, took = read()
		require.Equal(t, response{http.StatusOK, `"1"`, "a"}, resp)
		require.Equal(t, 30*time.Millisecond, took)
		require.Equal(t, http.StatusBadRequest, call(t.Context(), h, http.MethodPut, "/fake/faults", "", `{"down": true}`).status)
	})
}

// Guards against a wrong share of lost responses, and against a seed that doesn't
// repeat them.
func TestShareOfLostAnswersIsSeeded(t *testing.T) {
	lost := func(seed string) (list []int) {
		h := NewServer().Handler()
		call(t.Context(), h, http.MethodPut, "/fake/faults", "", `{"mode": "lose_write_answers", "share": 0.3, "seed": `+seed+`}`)

		for i := range 1000 {
			if call(t.Context(), h, http.MethodPut, objectPath, `"9"`, "").status == 0 {
				list = append(list, i)
			}
		}

		return list
	}

	first := lost("1")
	require.InDelta(t, 300, len(first), 75)
	require.Equal(t, first, lost("1"))
	require.NotEqual(t, lost("1"), lost("2"))
}

// Guards against stale responses to the wrong kind of call, and against a kind
// that should be stale and isn't.
func TestStaleAnswers(t *testing.T) {
	h := NewServer().Handler()
	for _, v := range []string{`"0"`, `"1"`, `"2"`} {
		call(t.Context(), h, http.MethodPut, objectPath, v, "")
	}

	etags := func(stale string) (string, string) {
		call(t.Context(), h, http.MethodPut, "/fake/faults", "", `{"mode": "up", "stale": "`+stale+`"}`)

		return call(t.Context(), h, http.MethodGet, objectPath, "", "").etag, call(t.Context(), h, http.MethodGet, watchPath+"0", "", "").etag
	}

	read, watch := etags("reads")
	require.Contains(t, []string{`"1"`, `"2"`}, read)
	require.Equal(t, `"3"`, watch)

	read, watch = etags("watches")
	require.Equal(t, `"3"`, read)
	require.Contains(t, []string{`"1"`, `"2"`}, watch)
}

// Guards against a list that doesn't lag or that reorders changes when the lag
// gets shorter.
func TestInstanceListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewServer().Handler()
		list := func() string { return call(t.Context(), h, http.MethodGet, "/v1/instances", "", "").body }

		call(t.Context(), h, http.MethodPut, "/fake/list", "", `{"lag_ms": 1000}`)
		call(t.Context(), h, http.MethodPut, "/fake/instances/a", "", `{"id":"a"}`)
		time.Sleep(999 * time.Millisecond)
		require.JSONEq(t, `{"instances": []}`, list())
		time.Sleep(time.Millisecond)
		require.JSONEq(t, `{"instances": [{"id": "a"}]}`, list())

		call(t.Context(), h, http.MethodPut, "/fake/instances/a", "", `{"id":"a","leaving":true}`)
		call(t.Context(), h, http.MethodPut, "/fake/list", "", `{"lag_ms": 0}`)
		call(t.Context(), h, http.MethodDelete, "/fake/instances/a", "", "")
		require.JSONEq(t, `{"instances": [{"id": "a"}]}`, list())
		time.Sleep(time.Second)
		require.JSONEq(t, `{"instances": []}`, list())
	})
}
