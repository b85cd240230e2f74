package order

import (
	"crypto/sha256"
	"encoding/binary"
)

// fingerprintBytes is the length of a fingerprint: 128 bits of SHA-256.
const fingerprintBytes = 16

// Fingerprint identifies the content of a call. A key that comes back with
// another fingerprint belongs to another call.
type Fingerprint [fingerprintBytes]byte

// NewFingerprint hashes the parts of a call, each with its length, so that no
// two calls join to the same bytes.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum(nil)[:fingerprintBytes])
}
