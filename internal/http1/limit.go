package http1

import "io"

// headLimiter is a reader that fails once more than a number of bytes were read. Its
// user is a bufio.Reader, which may read ahead by its own size.
type headLimiter struct {
	reader io.Reader
	// left is the number of bytes that may still be read while limited.
	left     int
	limited  bool
	exceeded bool
}

// limit allows n more bytes until unlimit.
func (h *headLimiter) limit(n int) { h.left, h.limited, h.exceeded = n, true, false }

func (h *headLimiter) unlimit() { h.limited = false }

// Read implements io.Reader.
func (h *headLimiter) Read(b []byte) (int, error) {
	if !h.limited {
		return h.reader.Read(b)
	}

	if h.left <= 0 {
		h.exceeded = true

		return 0, ErrHeadTooLarge
	}

	n, err := h.reader.Read(b[:min(len(b), h.left)])
	h.left -= n

	return n, err
}
