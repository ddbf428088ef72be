package roster

import "time"

const (
	// heartbeatInterval is how often an instance renews its entry: 440 instances
	// make 4 writes a second, a hundredth of the store's rate.
	heartbeatInterval = 2 * time.Minute
	// expireAfter is the age of the last heartbeat from which an instance no longer
	// counts: three heartbeats, so that one lost call changes nothing.
	expireAfter = 3 * heartbeatInterval
	// removeAfter is the age from which its entry is removed from the store. Hundreds
	// of machines are replaced each day, under new names.
	removeAfter = 15 * heartbeatInterval
	// maxGap is the longest time between two lists that counts towards an age. During
	// an outage of the store nobody can write a heartbeat.
	maxGap = 2 * refreshInterval
)

// liveness tracks which instances still renew their entries. The age of an entry
// counts from when this process saw it change, on the monotonic clock, since the
// time of day may jump. An entry that a list lacks goes on aging as if it were there:
// stale lists may lack entries, and a store that comes back from an older copy has lost
// those written since, while their instances run. The zero value is ready to use.
type liveness struct {
	seen map[string]observation
	// observedAt is when the last list was observed.
	observedAt time.Time
}

// observation is the last change of an entry.
type observation struct {
	entry     Entry
	changedAt time.Time
}

// observe takes a list and returns the entries of live instances, and the ids of
// listed ones whose entries should be removed. An entry that is new to this process
// counts as changed now.
func (l *liveness) observe(now time.Time, self string, entries []Entry) (live []Entry, removable []string) {
	var outage time.Duration
	if gap := now.Sub(l.observedAt); !l.observedAt.IsZero() && gap > maxGap {
		outage = gap
	}

	l.observedAt = now
	seen := make(map[string]observation, len(entries))

	for _, e := range entries {
		o, ok := l.seen[e.ID]
		o.changedAt = o.changedAt.Add(outage)

		if !ok || o.entry.Started != e.Started || o.entry.Heartbeat != e.Heartbeat {
			o.changedAt = now
		}

		o.entry = e
		seen[e.ID] = o
		age := now.Sub(o.changedAt)

		switch {
		case e.ID == self || age < expireAfter:
			live = append(live, e)
		case age >= removeAfter:
			removable = append(removable, e.ID)
		}
	}

	for id, o := range l.seen {
		if _, listed := seen[id]; listed {
			continue
		}

		o.changedAt = o.changedAt.Add(outage)

		if id == self || now.Sub(o.changedAt) < expireAfter {
			seen[id] = o
			live = append(live, o.entry)
		}
	}

	l.seen = seen

	return live, removable
}
