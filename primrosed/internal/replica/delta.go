package replica

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"primrosespring.example/internal/follower"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/jsonlist"
)

// maxChangesBytes bounds decompressed changes, which hold one value of each object at most.
const maxChangesBytes = 8 << 20

// wireChange is the wire form of a change.
type wireChange[T any] struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Era      uint64 `json:"era,omitempty"`
	// Item is missing if the item was removed.
	Item *T `json:"item,omitempty"`
}

// Collection follows a collection by the word of other instances, and tells them its changes.
// It implements Followed.
type Collection[T any] struct {
	*follower.Follower[T]

	mu sync.Mutex // Guards encoded.
	// encoded is the last delta that was given: many instances ask for the same one.
	encoded *pb.CollectionPosition
	from    follower.Revision
}

// Tell adds the changes after a revision to this instance's position.
func (c *Collection[T]) Tell(p *pb.CollectionPosition, revision follower.Revision) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	d := c.ChangesSince(revision)
	if !d.To.After(revision) {
		return nil
	}

	if c.encoded == nil || c.from != revision || revisionOf(c.encoded) != d.To || c.encoded.GetMissing() != d.Missing {
		e := &pb.CollectionPosition{Revision: d.To.Number, Era: d.To.Era, Missing: d.Missing}

		if len(d.Changes) > 0 {
			data, err := encodeChanges(d.Changes)
			if err != nil {
				return err
			}

			e.Changes = data
		}

		c.encoded, c.from = e, revision
	}

	p.Revision, p.Era = c.encoded.GetRevision(), c.encoded.GetEra()
	p.Missing, p.Changes = c.encoded.GetMissing(), c.encoded.GetChanges()

	return nil
}

// Take passes on the changes after the revision from that another instance told in answer to a
// question sent at the time asked.
func (c *Collection[T]) Take(p *pb.CollectionPosition, from follower.Revision, position follower.Position, asked time.Time) error {
	d := follower.Delta[T]{From: from, To: revisionOf(p), Missing: p.GetMissing()}

	if len(p.GetChanges()) > 0 {
		changes, err := decodeChanges[T](p.GetChanges())
		if err != nil {
			return err
		}

		d.Changes = changes
	}

	c.Deliver(d, position, asked)

	return nil
}

func encodeChanges[T any](changes []follower.Change[T]) ([]byte, error) {
	list := make([]wireChange[T], len(changes))

	for i := range changes {
		list[i] = wireChange[T]{Name: changes[i].Name, Revision: changes[i].Revision.Number, Era: changes[i].Revision.Era}
		if !changes[i].Removed {
			list[i].Item = &changes[i].Item
		}
	}

	var b bytes.Buffer

	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(list); err != nil {
		return nil, errors.Annotate(err, "encode changes")
	}

	if err := w.Close(); err != nil {
		return nil, errors.Annotate(err, "encode changes")
	}

	return b.Bytes(), nil
}

func decodeChanges[T any](data []byte) ([]follower.Change[T], error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Annotate(err, "decode changes")
	}

	list, err := jsonlist.Decode[wireChange[T]](io.LimitReader(r, maxChangesBytes))
	if err != nil {
		return nil, errors.Annotate(err, "decode changes")
	}

	out := make([]follower.Change[T], len(list))

	for i := range list {
		out[i] = follower.Change[T]{
			Name: list[i].Name, Revision: follower.Revision{Era: list[i].Era, Number: list[i].Revision}, Removed: list[i].Item == nil,
		}
		if list[i].Item != nil {
			out[i].Item = *list[i].Item
		}
	}

	return out, nil
}
