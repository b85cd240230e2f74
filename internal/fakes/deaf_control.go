package fakes

import "syscall"

const deafBufferBytes = 4 << 10

// smallBuffer makes the system take no more than a small buffer of what is written to each connection of a listener.
func smallBuffer(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, deafBufferBytes)
	})
	if err != nil {
		return err
	}
	return failure
}
