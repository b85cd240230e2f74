package order

import (
	"crypto/sha256"
	"encoding/binary"
)

// fingerprintBytes is the length of a fingerprint: 128 bits of SHA-256.
const fingerprintBytes = 16

// Fingerprint is a hash of the content of a call. It detects that a key is reused
// for another call.
type Fingerprint [fingerprintBytes]byte

// NewFingerprint hashes the parts of a call. Each part is prefixed with its
// length, so different calls never produce the same input.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum(nil)[:fingerprintBytes])
}
