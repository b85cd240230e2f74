package request

import (
	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

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
