package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const maxIdle = 32 // connections to one address

// Pool keeps idle connections.
type Pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool. A connection that does not come about within
// connectTimeout fails.
func NewPool(connectTimeout time.Duration) *Pool {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Pool{dial: dialer.DialContext, idle: map[string][]*conn{}}
}

// Send sends a request and reads the beginning of its answer. It fails with
// ConnectError or ExchangeError. When ctx ends, the connection is closed,
// also while the body is read. With fresh, it uses a new connection.
func (p *Pool) Send(ctx context.Context, address string, head Head, body []byte, fresh bool) (*Answer, error) {
	c, err := p.get(ctx, address, fresh)
	if err != nil {
		return nil, &ConnectError{Address: address, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	err = c.send(head, body)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.reader, &http.Request{Method: head.Method})
	}
	if err != nil {
		stop()
		_ = c.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &ExchangeError{Address: address, Reused: c.reused, Err: err}
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, pool: p, conn: c, response: response, stop: stop}, nil
}

func (p *Pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.take(address); c != nil {
			return c, nil
		}
	}
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, address), nil
}

// take returns the idle connection that was used last, if it is sound.
func (p *Pool) take(address string) *conn {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.until) && quiet(c.Conn) {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	of := p.idle[address]
	if len(of) == 0 {
		return nil
	}
	c := of[len(of)-1]
	p.idle[address] = of[:len(of)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, of := range p.idle {
		kept := of[:0]
		for _, c := range of {
			if now.Before(c.until) {
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
