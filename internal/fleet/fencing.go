package fleet

// FencingNumber is the fencing token of a group: the log offset of the record
// that assigned its VMs to it. It increases monotonically, is never reused, and
// is also the ID of the group. Zero means that there is no group.
type FencingNumber uint64

// NoGroup is the fencing number of a VM that belongs to no group.
const NoGroup FencingNumber = 0
