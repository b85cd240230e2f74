package admit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// usageUpdate tells the other daemons of the data centre what has changed in the
// own usage. Its digest shows whether the changes before it were heard too.
type usageUpdate struct {
	_       struct{}     `cbor:",toarray"`
	Version infra.Offset // of the configuration whose numbers are used
	Digest  uint16       // of the whole usage told by now
	Changes []byte
}

// digestOf is a hash of a usage by names, so that it does not depend on the
// configuration's version. An empty usage has the digest 0. It is short: after a loss
// each later update has another chance to show it.
func digestOf(usage map[demandKey]TeamUsage) uint16 {
	sum := uint64(0)
	var data []byte
	for key, held := range usage {
		data = append(data[:0], key.model...)
		data = append(data, 0)
		data = append(data, key.team...)
		data = binary.AppendUvarint(append(data, 0), uint64(held.Running))
		data = binary.AppendUvarint(data, uint64(held.Waiting))
		sum += xxhash.Sum64(data)
	}
	return uint16(sum >> 48)
}
