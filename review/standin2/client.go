package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// sent is a client's request with its answer.
type sent struct {
	id, instance, path, key string
	at, answeredAt          time.Time
	status                  int // 0 without an answer.
	stamp, body             string
	err                     error
}

// client sends requests to the front addresses of instances.
type client struct {
	rec  *record
	host string
	// limit is the client's time limit.
	limit time.Duration
	http  http.Client
	next  atomic.Int64

	mu   sync.Mutex
	sent []sent
}

func newClient(rec *record, host string, limit time.Duration) *client {
	return &client{
		rec: rec, host: host, limit: limit,
		http: http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}},
	}
}

// send sends one GET request to an instance and waits for the answer.
func (c *client) send(i *instance, path, key string) sent {
	return c.do(i, http.MethodGet, path, key, nil)
}

// do sends one request to an instance and waits for the answer.
func (c *client) do(i *instance, method, path, key string, content io.Reader) sent {
	s := sent{id: fmt.Sprintf("%08x%08x", time.Now().Unix(), c.next.Add(1)), instance: i.name, path: path, key: key, at: time.Now()}

	ctx, cancel := context.WithTimeout(context.Background(), c.limit)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, method, "http://"+i.front()+path, content)
	if err != nil {
		panic(err)
	}

	r.Host = c.host
	r.Header.Set("X-Request-Id", s.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.limit.Milliseconds(), 10))

	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}

	c.rec.printf("sent %s to %s %s %s", s.id, i.name, method, path)

	resp, err := c.http.Do(r)
	if err == nil {
		var body []byte

		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		s.body = string(body)

		if err == nil {
			s.status, s.stamp = resp.StatusCode, resp.Header.Get("X-Response-Stamp")
		}
	}

	s.err, s.answeredAt = err, time.Now()
	c.rec.printf("answered %s status=%d stamp=%q", s.id, s.status, s.stamp)

	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()

	return s
}

// all returns what has been sent and answered.
func (c *client) all() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()

	return append([]sent(nil), c.sent...)
}

// load sends requests at a rate, in turn to each of the instances, until a time.
func (c *client) load(instances []*instance, path, key string, perS float64, until time.Time) {
	var wg sync.WaitGroup

	begun := time.Now()

	for n := 0; ; n++ {
		at := begun.Add(time.Duration(float64(n) / perS * float64(time.Second)))
		if !at.Before(until) {
			break
		}

		time.Sleep(time.Until(at))

		i := instances[n%len(instances)]

		wg.Go(func() { c.send(i, path, key) })
	}

	wg.Wait()
}
