package callerconn

import "syscall"

// OtherSocketBytes is what a connection to one of the other addresses may queue in each direction: pages of the store
// and frames of links, over round trips of some milliseconds.
const OtherSocketBytes = 64 << 10

const (
	// callerShare of the descriptors is for callers: a request in progress has a connection of its
	// caller and one to an endpoint; files, peers, the store and idle connections take the rest.
	callerShare = 0.4
	otherShare  = 0.2 // of one of the other addresses: a daemon reads the store for a hundred others
	memoryShare = 0.6 // of the memory, for connections of all kinds
	// connectionBytes is the memory of a connection: its goroutine, the server's buffers, and a head that holds no more
	// than every one may.
	connectionBytes = 24 << 10
	minLimit        = 16 // connections, however few descriptors there are
)

// Limit returns the number of connections that callers may have in a process that may use the given
// number of descriptors and amount of memory in bytes. 0 means that only the limit of the operating system counts, and
// that memory is not limited.
func Limit(descriptors int, memory int64) int { return limit(callerShare, descriptors, memory) }

// OtherLimit returns the same for the connections to one of the other addresses, of load balancers, operators and
// daemons.
func OtherLimit(descriptors int, memory int64) int { return limit(otherShare, descriptors, memory) }

func limit(share float64, descriptors int, memory int64) int {
	if allowed := processLimit(); descriptors <= 0 || allowed < descriptors {
		descriptors = allowed
	}
	most := int(share * float64(descriptors))
	if memory > 0 {
		most = min(most, int(memoryShare*share*float64(memory)/connectionBytes))
	}
	return max(most, minLimit)
}

// processLimit returns the number of descriptors that the operating system allows this process.
func processLimit() int {
	const unknown = 1024 // the usual default
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknown
	}
	const most = 1 << 20 // "unlimited" is beyond what a daemon can serve
	return int(min(limit.Cur, most))
}
