package request

import (
	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// prefixBytes is how much of a body decides which prefix cache may help.
const prefixBytes = 256

// Prefix returns a hash that requests with an equal beginning share, or zero
// for a body that is too short to be worth a cache.
func Prefix(model fleet.ModelName, adapter string, body []byte) uint64 {
	if len(body) < prefixBytes {
		return 0
	}
	return Fingerprint(model, adapter, body[:prefixBytes])
}

// Fingerprint returns a hash that equal requests share, whoever sends them.
func Fingerprint(model fleet.ModelName, adapter string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(model))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(adapter)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return digest.Sum64()
}
