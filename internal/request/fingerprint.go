package request

import (
	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// prefixBytes is the length of the start of a body that Prefix hashes to choose a
// group with a matching prefix cache.
const prefixBytes = 256

// Prefix returns a hash of the model, the adapter and the start of the body. It
// returns zero for a body shorter than prefixBytes, for which routing by prefix
// cache brings no benefit.
func Prefix(model fleet.ModelName, adapter string, body []byte) uint64 {
	if len(body) < prefixBytes {
		return 0
	}
	return Fingerprint(model, adapter, body[:prefixBytes])
}

// Fingerprint returns a hash of the model, the adapter and the body. It does not
// depend on the caller.
func Fingerprint(model fleet.ModelName, adapter string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(model))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(adapter)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return digest.Sum64()
}
