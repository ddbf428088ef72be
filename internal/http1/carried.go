package http1

import (
	"hash/maphash"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxCarried bounds a requestSet to 32 KiB.
const maxCarried = 1024

var (
	connsReplaced = metrics.NewCounter("primrose_connections_replaced_total")

	keySeed = maphash.MakeSeed()
)

// requestSet is a set of requests by the hashes of their keys. Two keys with the same hash
// cost a connection and nothing else.
type requestSet struct{ entries []carriedRequest }

// carriedRequest is a request that isn't sent again after expires.
type carriedRequest struct {
	key     uint64
	expires time.Time
}

// add adds a request and drops those that have expired. It reports false if the set is
// full. An empty key isn't added.
func (s *requestSet) add(key string, expires, now time.Time) bool {
	if key == "" {
		return true
	}

	first := 0
	for first < len(s.entries) && s.entries[first].expires.Before(now) {
		first++
	}

	s.entries = slices.Delete(s.entries, 0, first)

	if len(s.entries) == maxCarried {
		s.entries = slices.DeleteFunc(s.entries, func(c carriedRequest) bool { return c.expires.Before(now) })
	}

	if len(s.entries) == maxCarried {
		return false
	}

	s.entries = append(s.entries, carriedRequest{key: maphash.String(keySeed, key), expires: expires})

	return true
}

// has reports whether the set holds the request of that key.
func (s *requestSet) has(key string) bool {
	if key == "" || len(s.entries) == 0 {
		return false
	}

	h := maphash.String(keySeed, key)

	return slices.ContainsFunc(s.entries, func(c carriedRequest) bool { return c.key == h })
}
