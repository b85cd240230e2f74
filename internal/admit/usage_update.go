package admit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// usageUpdate publishes the changes of a daemon's usage to the other daemons of its data
// centre. A receiver compares the digest to detect lost updates.
type usageUpdate struct {
	_       struct{}     `cbor:",toarray"`
	Version infra.Offset // configuration version of the numbers
	Digest  uint16       // of the complete published usage
	Changes []byte
}

// digestOf returns a hash of a usage by names, which is independent of the configuration
// version. An empty usage has the digest 0. The hash is short because every later update
// gives another chance to detect a loss.
func digestOf(usage map[demandKey]TeamUsage) uint16 {
	sum := uint64(0)
	var data []byte
	for key, demand := range usage {
		data = append(data[:0], key.model...)
		data = append(data, 0)
		data = append(data, key.team...)
		data = binary.AppendUvarint(append(data, 0), uint64(demand.Running))
		data = binary.AppendUvarint(data, uint64(demand.Waiting))
		sum += xxhash.Sum64(data)
	}
	return uint16(sum >> 48)
}
