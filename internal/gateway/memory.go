package gateway

import (
	"io"
	"time"

	"github.com/plantainmux/plantainmux/internal/heldbytes"
)

const (
	heldShare        = 0.4 // of the memory limit that exchanges may hold; connections, runtime and garbage take the rest
	bytesPerMB       = 1 << 20
	retryAfterMemory = 500 * time.Millisecond // by then some of the exchanges in progress have ended; as much is added as jitter
)

// memory returns the memory that this process may use, in bytes; 0: not limited.
func (g *Gateway) memory() int64 { return int64(g.settings.Limits.MemoryMB) * bytesPerMB }

// newHeldBytes returns the account of what this daemon holds for exchanges.
func (g *Gateway) newHeldBytes() *heldbytes.Account {
	return heldbytes.NewAccount(int64(heldShare*float64(g.memory())), g.metrics)
}

// ReadBody reads the body of an admitted request. length is the length of the body, negative if it
// is not known. It fails with a heldbytes.LimitError if this daemon cannot hold the body. The caller
// calls release once, also after an error.
func (g *Gateway) ReadBody(body io.Reader, length int64) (data []byte, release func(), err error) {
	return g.held.ReadRequest(body, length)
}

// DenyMemory returns the denial of a request whose body this daemon cannot hold.
func (g *Gateway) DenyMemory(admitted *Admitted, limit *heldbytes.LimitError) *Denied {
	g.logger.Info("request body exceeds the memory for requests", "request", admitted.incoming.ID, "wanted_bytes", limit.Wanted, "held_bytes", limit.Held, "limit_bytes", limit.Limit)
	return g.deny(admitted.incoming, Memory, retryAfterMemory+time.Duration(random()*float64(retryAfterMemory)))
}
