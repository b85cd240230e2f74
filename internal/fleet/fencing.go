package fleet

// FencingNumber is the log offset of the record that granted a group its VMs.
// It only grows, is never reused, and doubles as the identity of the group.
// Zero means "no group".
type FencingNumber uint64

// NoGroup is the fencing number of a VM that belongs to no group.
const NoGroup FencingNumber = 0
