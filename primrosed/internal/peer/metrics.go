package peer

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/membership"
)

var (
	controlSent     = metrics.NewCounter(`primrosed_control_bytes_total{direction="sent"}`)
	controlReceived = metrics.NewCounter(`primrosed_control_bytes_total{direction="received"}`)
	relaySent       = metrics.NewCounter(`primrosed_relay_bytes_total{direction="sent"}`)
	relayReceived   = metrics.NewCounter(`primrosed_relay_bytes_total{direction="received"}`)
	badFrames       = metrics.NewCounter("primrosed_peer_bad_frames_total")
	silentSessions  = metrics.NewCounter("primrosed_peer_silent_sessions_total")
	listCalls       = metrics.NewCounter("primrosed_instance_list_calls_total")
)

// countedConn counts the bytes of a connection and records the time of the last
// read.
type countedConn struct {
	net.Conn

	relay    atomic.Bool
	lastRead atomic.Int64 // Unix time in nanoseconds.
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())

		if c.relay.Load() {
			relayReceived.Add(n)
		} else {
			controlReceived.Add(n)
		}
	}

	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.relay.Load() {
		relaySent.Add(n)
	} else {
		controlSent.Add(n)
	}

	return n, err
}

// sinceLastRead returns the time since data last arrived.
func (c *countedConn) sinceLastRead(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.lastRead.Load()))
}

func countFrame(f *pb.PeerFrame, direction string) {
	kind := "other"

	switch f.GetBody().(type) {
	case *pb.PeerFrame_Heartbeat:
		kind = "heartbeat"
	case *pb.PeerFrame_Membership:
		kind = "membership_delta"
	case *pb.PeerFrame_Sync:
		kind = "membership_sync"
	case *pb.PeerFrame_Configuration:
		kind = "configuration"
	case *pb.PeerFrame_LeavingSearchers:
		kind = "leaving_searchers"
	case *pb.PeerFrame_Probe, *pb.PeerFrame_ProbeAnswer:
		kind = "probe"
	}

	metrics.GetOrCreateCounter(fmt.Sprintf("primrosed_control_frames_total{kind=%q,direction=%q}", kind, direction)).Inc()
}

// setGauges updates the gauges of instances, sessions and the configuration.
func (m *Mesh) setGauges() {
	counts := make(map[membership.State]int)
	for _, r := range m.options.Table.Records() {
		counts[r.State]++
	}

	for _, s := range []membership.State{membership.Alive, membership.Suspect, membership.Leaving, membership.Dead} {
		metrics.GetOrCreateGauge(fmt.Sprintf("primrosed_membership_instances{state=%q}", s), nil).Set(float64(counts[s]))
	}

	metrics.GetOrCreateGauge("primrosed_configuration_version", nil).Set(float64(m.options.Keeper.Configuration().Version))
	metrics.GetOrCreateGauge("primrosed_peer_sessions", nil).Set(float64(m.sessionCount()))
}
