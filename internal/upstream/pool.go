package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/outbound"
)

const maxIdlePerAddress = 32 // idle connections to one address

// Pool holds idle connections by address.
type Pool struct {
	connectTimeout time.Duration
	dial           delivery.Dial

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool. Connecting fails after connectTimeout.
func NewPool(connectTimeout time.Duration) *Pool {
	return &Pool{connectTimeout: connectTimeout, dial: (&net.Dialer{}).DialContext, idle: map[string][]*conn{}}
}

// Through makes the pool connect with dial, and returns it. It must be called before the first use.
func (p *Pool) Through(dial delivery.Dial) *Pool {
	p.dial = dial
	return p
}

// Send sends a request and reads the head of the final response. It returns a *ConnectError or
// an *ExchangeError. A connection is reported to the httptrace.ClientTrace of ctx. When ctx ends, the connection is closed, also while the body is
// read. If fresh is true, it uses a new connection.
func (p *Pool) Send(ctx context.Context, address string, head Head, body []byte, fresh bool) (*Answer, error) {
	c, err := p.get(ctx, address, fresh)
	if err != nil {
		return nil, &ConnectError{Address: address, Err: err}
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c, Reused: c.reused})
	}
	if cause := context.Cause(ctx); cause != nil { // the watch below would race with the write
		_ = c.Close()
		return nil, &ConnectError{Address: address, Err: cause}
	}
	stopWatch := context.AfterFunc(ctx, func() { _ = c.Close() })
	err = c.send(head, body)
	var response *http.Response
	if err == nil {
		response, err = c.readHead(head.Method)
	}
	if err != nil {
		stopWatch()
		_ = c.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &ExchangeError{Address: address, Reused: c.reused, Err: err}
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, pool: p, conn: c, response: response, stopWatch: stopWatch}, nil
}

func (p *Pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.take(address); c != nil {
			return c, nil
		}
	}
	ctx, cancel := awake.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	raw, err := p.dial(ctx, "tcp", address)
	if outbound.IsOwnShortage(err) && p.closeIdle() > 0 {
		raw, err = p.dial(ctx, "tcp", address)
	}
	if err != nil {
		return nil, err
	}
	return newConn(raw, address), nil
}

// closeIdle closes all idle connections and returns how many there were.
func (p *Pool) closeIdle() int {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	count := 0
	for _, conns := range idle {
		for _, c := range conns {
			_ = c.Close()
		}
		count += len(conns)
	}
	return count
}

// take returns the most recently used idle connection that can be reused, or nil, and
// closes the others that it meets.
func (p *Pool) take(address string) *conn {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.expiresAt) && reusable(c.Conn) {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the idle connections that have expired.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}
