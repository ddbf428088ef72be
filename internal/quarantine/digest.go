package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Digest identifies the content of a request, which a caller that tries again sends unchanged
// under another id. Two contents have the same digest with a chance of 2^-128.
type Digest [16]byte

// DigestOf returns the digest of a request of a member organisation; member is empty if the
// request has none. What one member sends holds back no other's requests.
func DigestOf(member, method, host, target string, body []byte) Digest {
	h := sha256.New()

	parts := []string{method, host, target}
	if member != "" {
		// The byte starts no length, so that no request without a member has the digest.
		_, _ = h.Write([]byte{0xff})
		parts = append(parts, member)
	}

	for _, part := range parts {
		// The length separates the parts.
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = io.WriteString(h, part)
	}

	_, _ = h.Write(body)

	return Digest(h.Sum(nil)[:len(Digest{})])
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
