package logline

import (
	"bytes"
	"encoding/json"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLines guards against a line that can't be split into its pairs again.
func TestLines(t *testing.T) {
	var out bytes.Buffer

	w := New(&out)
	log := w.Logger()
	log.Info().Str("event", "route").Str("plain", "a-b").Str("space", "two words").Str("quote", `say "x"`).
		Str("empty", "").Int("n", -3).Bool("b", true).Strs("list", []string{"x", "y,z"}).Str("eq", "a=b").Send()
	log.Warn().Send()
	require.NoError(t, w.Close())

	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	require.Regexp(t, `^level=info event=route plain=a-b space="two words" quote="say \\"x\\"" empty="" n=-3 b=true `+
		`list="\[\\"x\\",\\"y,z\\"\]" eq="a=b" time=\S+$`, lines[0])
	require.Regexp(t, `^level=warn time=\S+$`, lines[1])
}

// FuzzPairs guards against a value that breaks a line in two.
func FuzzPairs(f *testing.F) {
	f.Add("value")
	f.Add("a\nb\\\"{}[]:,= ")
	f.Fuzz(func(t *testing.T, value string) {
		data, err := json.Marshal(map[string]string{"key": value})
		require.NoError(t, err)

		line := appendPairs(nil, data)
		require.NotContains(t, string(line), "\n")
		require.True(t, bytes.HasPrefix(line, []byte("key=")))
	})
}

func BenchmarkLine(b *testing.B) {
	w := New(&bytes.Buffer{})
	log := w.Logger()

	b.ReportAllocs()

	for b.Loop() {
		w.mu.Lock()
		w.pending = w.pending[:0]
		w.mu.Unlock()
		log.Info().Str("event", "route").Str("query_id", "entry-0-56aa6813a7c8-1").Uint32("attempt", 1).
			Uint32("shard", 3).Str("searcher", "s3").Str("reason", "first").Int64("expected_us", 5000).Send()
	}

	require.NoError(b, w.Close())
}

// stalledWriter blocks every Write until it is released.
type stalledWriter struct {
	release chan struct{}
	bytes.Buffer
}

// Write implements io.Writer.
func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release

	return s.Buffer.Write(p)
}

// TestStalledOutputDoesNotBlockLogging guards against requests that wait for the
// log's output, a buffer that grows meanwhile, and dropped lines that no line
// reports.
func TestStalledOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledWriter{release: make(chan struct{})}
		w := New(out)
		log := w.Logger()

		for range 3 {
			for range 4000 {
				log.Info().Str("event", "request").Str("request_id", "0123456789abcdef").Send()
			}

			time.Sleep(time.Second)
		}

		require.LessOrEqual(t, len(w.pending), bufferBytes)
		close(out.release)
		require.NoError(t, w.Close())

		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		require.Contains(t, lines[len(lines)-1], "event=log_lines_dropped lines=")
		require.Less(t, len(lines), 12000)

		for _, l := range lines {
			require.True(t, strings.HasPrefix(l, "level="), "lines stay whole: %q", l)
		}
	})
}

// brokenWriter fails until it is repaired.
type brokenWriter struct {
	bytes.Buffer

	broken bool
}

// Write implements io.Writer.
func (b *brokenWriter) Write(p []byte) (int, error) {
	if b.broken {
		return 0, syscall.EPIPE
	}

	return b.Buffer.Write(p)
}

// Guards against lines that are lost to an output whose reader has gone, and that no line
// reports once it is back.
func TestLinesLostToABrokenOutputAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &brokenWriter{broken: true}
		w := New(out)
		log := w.Logger()

		for range 3 {
			log.Info().Str("event", "request").Send()
			time.Sleep(flushInterval)
		}

		time.Sleep(flushInterval)

		out.broken = false

		require.NoError(t, w.Close())
		require.Equal(t, "level=warn event=log_lines_dropped lines=3\n", out.String())
	})
}
