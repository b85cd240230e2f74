package admit

import "encoding/binary"

// usageChange is the demand of one team for one model, identified by its number.
type usageChange struct {
	number           int
	running, waiting int
}

// appendTo appends the encoded change: its number, the running requests shifted left by
// one bit, and the waiting requests if there are any. The lowest bit of the second value
// is set if the waiting requests follow.
func (c usageChange) appendTo(data []byte) []byte {
	data = binary.AppendUvarint(data, uint64(c.number))
	if c.waiting == 0 {
		return binary.AppendUvarint(data, uint64(c.running)<<1)
	}
	data = binary.AppendUvarint(data, uint64(c.running)<<1|1)
	return binary.AppendUvarint(data, uint64(c.waiting))
}

// changeReader decodes the changes of an update.
type changeReader struct {
	data []byte
}

// next returns the next change. ok is false at the end and if the remaining data is malformed.
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
