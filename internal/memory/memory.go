// Package memory bounds the memory that peers decide about: the bytes that they send and
// that are held until a whole message can be read.
package memory

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrExhausted is returned once a Budget has no memory left for a message.
var ErrExhausted = errors.New("no memory is left for messages of this kind")

// initialBytes is the first size of a buffer that grows with what arrives.
const initialBytes = 4 << 10

// Budget bounds the memory of all messages of one kind. It is safe for concurrent use;
// nil sets no bound.
type Budget struct {
	// Max is the bound in bytes; it must be set before first use.
	Max  int64
	used atomic.Int64
}

// Reserve takes n bytes and reports whether the bound allows them.
func (b *Budget) Reserve(n int64) bool {
	if b == nil {
		return true
	}

	if b.used.Add(n) > b.Max {
		b.used.Add(-n)

		return false
	}

	return true
}

// Release returns n bytes that Reserve took.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}

	return b.used.Load()
}

// ReadAll reads until r ends, but no more than largest bytes. The buffer, and what it
// takes of the budget, grows with what arrives. The caller releases reserved bytes once the
// data isn't needed any more, also after an error, which is ErrExhausted if the budget is.
func (b *Budget) ReadAll(r io.Reader, largest int64) (data []byte, reserved int64, err error) {
	for {
		if len(data) == cap(data) {
			if int64(len(data)) == largest {
				return data, reserved, nil
			}

			size := min(max(2*int64(len(data)), initialBytes), largest)
			if !b.Reserve(size - reserved) {
				return data, reserved, ErrExhausted
			}

			reserved = size
			data = append(make([]byte, 0, size), data...)
		}

		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]

		switch {
		case errors.Is(err, io.EOF):
			return data, reserved, nil
		case err != nil:
			return data, reserved, err
		}
	}
}
