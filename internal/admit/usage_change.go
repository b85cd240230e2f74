package admit

import "encoding/binary"

// usageChange is the demand of one team for one model, by its number.
type usageChange struct {
	number           int
	running, waiting int
}

// appendTo encodes a change: its number, twice the running requests plus one if
// some wait, and those.
func (c usageChange) appendTo(data []byte) []byte {
	data = binary.AppendUvarint(data, uint64(c.number))
	if c.waiting == 0 {
		return binary.AppendUvarint(data, uint64(c.running)<<1)
	}
	data = binary.AppendUvarint(data, uint64(c.running)<<1|1)
	return binary.AppendUvarint(data, uint64(c.waiting))
}

// changeReader decodes changes that another daemon encoded.
type changeReader struct {
	data []byte
}

// next returns false at the end, and when what is left is malformed.
func (r *changeReader) next() (number uint64, usage TeamUsage, ok bool) {
	number, ok = r.uvarint()
	if !ok {
		return 0, TeamUsage{}, false
	}
	running, ok := r.uvarint()
	if !ok {
		return 0, TeamUsage{}, false
	}
	usage.Running = int(running >> 1)
	if running&1 == 1 {
		var waiting uint64
		waiting, ok = r.uvarint()
		usage.Waiting = int(waiting)
	}
	return number, usage, ok
}

func (r *changeReader) uvarint() (uint64, bool) {
	value, size := binary.Uvarint(r.data)
	if size <= 0 {
		return 0, false
	}
	r.data = r.data[size:]
	return value, true
}
