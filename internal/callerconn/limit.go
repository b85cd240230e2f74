package callerconn

import "syscall"

const (
	// callerShare of the descriptors is for callers: a request in progress has a connection of its
	// caller and one to an endpoint; files, peers, the store and idle connections take the rest.
	callerShare = 0.4
	minLimit    = 16 // connections, however few descriptors there are
)

// Limit returns the number of connections that callers may have in a process that may use the given
// number of descriptors. 0 means that only the limit of the operating system counts.
func Limit(descriptors int) int {
	if allowed := processLimit(); descriptors <= 0 || allowed < descriptors {
		descriptors = allowed
	}
	return max(int(callerShare*float64(descriptors)), minLimit)
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
