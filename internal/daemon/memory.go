package daemon

import (
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"github.com/plantainmux/plantainmux/internal/refusal"
)

const (
	bytesPerMB = 1 << 20
	heldShare  = 0.4 // of the memory that requests may hold; connections, runtime and garbage take the rest
)

// retryAfterMemory is for a daemon that holds as much for requests as it may: by then some have ended.
const retryAfterMemory = time.Second

// memoryLimit returns the memory that this process may use, in bytes; 0: not known.
func memoryLimit(memoryMB int) int64 {
	if memoryMB > 0 {
		return int64(memoryMB) * bytesPerMB
	}
	var machine unix.Sysinfo_t
	if unix.Sysinfo(&machine) != nil {
		return 0
	}
	return int64(uint64(machine.Totalram) * uint64(machine.Unit))
}

// refusedHead returns the fields of the answer to a head of a request that is refused.
func refusedHead(status int) http.Header {
	header := http.Header{refusal.OutcomeHeader: {string(refusal.NotRun)}}
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.Itoa(int(retryAfterMemory.Seconds())))
	}
	return header
}
