package outbound

import (
	"errors"
	"syscall"
)

// ownShortages are failures to connect that say nothing about the other side.
var ownShortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// IsOwnShortage reports whether a connection could not be made for want of descriptors, ports or
// memory of this daemon.
func IsOwnShortage(err error) bool {
	for _, shortage := range ownShortages {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// BlameOf returns what kept a connection to an endpoint from being made.
func BlameOf(err error) Blame {
	if IsOwnShortage(err) {
		return BlamePath
	}
	return BlameEndpoint
}
