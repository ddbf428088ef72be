package faultproxy

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// virtualLink returns a link that uses the virtual time of t's synctest bubble.
func virtualLink(t *testing.T, o Options) *Link {
	t.Helper()

	a := newTimerAlarm()
	l := newLink(newSchedule(a), o, 1)
	t.Cleanup(func() {
		l.close()
		a.close()
	})

	return l
}

// openSession returns the ends of a session as the caller and the target see it.
func openSession(l *Link) (caller, target net.Conn) {
	caller, proxyCaller := net.Pipe()
	proxyTarget, target := net.Pipe()

	go l.relay(proxyCaller, proxyTarget, time.Now())
	synctest.Wait()

	return caller, target
}

// openEstablished opens a session and waits for the round trip of its handshake.
func openEstablished(l *Link) (caller, target net.Conn) {
	caller, target = openSession(l)
	time.Sleep(2 * l.delay())

	return caller, target
}

type arrival struct {
	at   time.Duration
	data byte
}

// arrivals records each byte read from c, and when, until c is closed.
func arrivals(c net.Conn) chan arrival {
	got := make(chan arrival, 1000)
	begin := time.Now()

	go func() {
		defer close(got)

		b := make([]byte, 1)
		for {
			if _, err := c.Read(b); err != nil {
				return
			}
			got <- arrival{time.Since(begin), b[0]}
		}
	}()

	return got
}

func send(t *testing.T, c net.Conn, list ...byte) {
	t.Helper()

	for _, b := range list {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}

	synctest.Wait()
}

// Guards against a delay that is wrong in one direction, that adds up over the
// chunks in transit, or that isn't applied to the handshake or the close.
func TestDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := virtualLink(t, Options{DelayMS: 5})
		caller, target := openSession(l)
		got := arrivals(target)
		send(t, caller, bytes.Repeat([]byte{1}, 200)...)

		// The handshake takes 10 ms and the data 5 ms.
		for range 200 {
			require.Equal(t, arrival{15 * time.Millisecond, 1}, <-got)
		}

		back := arrivals(caller)
		send(t, target, 2)
		require.Equal(t, arrival{5 * time.Millisecond, 2}, <-back)

		begin := time.Now()
		require.NoError(t, caller.Close())

		_, more := <-got
		require.False(t, more)
		require.Equal(t, 5*time.Millisecond, time.Since(begin))
	})
}

// Guards against a schedule that doesn't wake the later of two sleepers, or that
// wakes one when another is cancelled.
func TestSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := virtualLink(t, Options{}).schedule
		begin := time.Now()
		woke := make(chan time.Duration, 3)
		cancelled := make(chan struct{})

		for i, done := range []chan struct{}{nil, cancelled, nil} {
			go func() {
				s.sleep(begin.Add(time.Duration(9-3*i)*time.Millisecond), done)
				woke <- time.Since(begin)
			}()
			synctest.Wait()
		}

		close(cancelled)
		require.Zero(t, <-woke)
		require.Equal(t, 3*time.Millisecond, <-woke)
		require.Equal(t, 9*time.Millisecond, <-woke)
	})
}

// Guards against jitter and loss that reorder data, exceed their bounds or don't
// occur.
func TestJitterAndLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := virtualLink(t, Options{DelayMS: 5, JitterMS: 2, LossShare: 0.1, RetransmitMS: 50})
		caller, target := openEstablished(l)
		got := arrivals(target)
		lost := 0

		for i := range 100 {
			before := time.Now()
			send(t, caller, byte(i))

			a := <-got
			require.Equal(t, byte(i), a.data)

			took := time.Since(before)
			if took > 50*time.Millisecond {
				took -= 50 * time.Millisecond
				lost++
			}

			require.GreaterOrEqual(t, took, 5*time.Millisecond)
			require.LessOrEqual(t, took, 7*time.Millisecond)
		}

		require.InDelta(t, 10, lost, 9)

		all := bytes.Repeat([]byte{0}, 100)
		for i := range all {
			all[i] = byte(i)
		}

		send(t, caller, all...)

		for i := range all {
			require.Equal(t, byte(i), (<-got).data)
		}
	})
}

// Guards against a bandwidth limit that isn't applied.
func TestBandwidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := virtualLink(t, Options{DelayMS: 5, BytesPerS: 1000})
		caller, target := openEstablished(l)
		got := arrivals(target)
		send(t, caller, 1, 2, 3)

		for i := range 3 {
			require.Equal(t, time.Duration(6+i)*time.Millisecond, (<-got).at)
		}
	})
}

// Guards against a silence that lets data through, forwards a close or affects
// new connections.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := virtualLink(t, Options{DelayMS: 1})
		caller, target := openEstablished(l)
		atTarget, atCaller := arrivals(target), arrivals(caller)

		l.forEachSession((*session).silence)
		send(t, caller, 1)
		send(t, target, 2)
		time.Sleep(time.Hour)
		synctest.Wait()
		require.Empty(t, atTarget)
		require.Empty(t, atCaller)

		caller2, target2 := openEstablished(l)
		got := arrivals(target2)
		send(t, caller2, 3)
		require.EqualValues(t, 3, (<-got).data)

		require.NoError(t, caller.Close())
		time.Sleep(time.Hour)
		send(t, target, 4)
		require.Empty(t, atTarget)
	})
}

// Guards against a partition that lets data or new connections through, or that
// loses or reorders the held data when it heals.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := virtualLink(t, Options{Target: "127.0.0.1:1"})
		caller, target := openEstablished(l)
		got := arrivals(target)

		l.setOptions(Options{Partitioned: true})
		send(t, caller, 1, 2)

		passed := make(chan bool, 1)

		go func() { passed <- l.waitHealed(nil) }()

		time.Sleep(time.Minute)
		synctest.Wait()
		require.Empty(t, got)
		require.Empty(t, passed)

		l.setOptions(Options{})
		require.True(t, <-passed)
		require.Equal(t, arrival{time.Minute, 1}, <-got)
		require.Equal(t, arrival{time.Minute, 2}, <-got)
	})
}

// Guards against a half-open connection whose open side receives data or a close.
func TestHalfOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := virtualLink(t, Options{})
		caller, target := openEstablished(l)
		atCaller := arrivals(caller)

		l.forEachSession(func(s *session) { s.halfOpen(s.target) })

		_, err := target.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		send(t, caller, 1)
		time.Sleep(time.Hour)
		synctest.Wait()
		require.Empty(t, atCaller)

		select {
		case <-atCaller:
			require.Fail(t, "the open end was closed")
		default:
		}
	})
}

// Guards against a queue that grows without bound when the receiver stops reading.
func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := virtualLink(t, Options{})
		caller, target := openEstablished(l)
		written := make(chan int, 1)

		go func() {
			n, _ := caller.Write(make([]byte, 2*maxQueuedBytes))
			written <- n
		}()
		synctest.Wait()
		require.Empty(t, written)

		n, err := io.CopyN(io.Discard, target, 2*maxQueuedBytes)
		require.NoError(t, err)
		require.EqualValues(t, 2*maxQueuedBytes, n)
		require.Equal(t, 2*maxQueuedBytes, <-written)
	})
}
