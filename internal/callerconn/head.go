package callerconn

import (
	"bytes"
	"net/http"

	"github.com/plantainmux/plantainmux/internal/heldbytes"
)

const (
	// fieldBytes is the memory of a field of a head beside its text: the parsed one, its copy that is passed on, and
	// what is allocated meanwhile.
	fieldBytes = 300
	textCopies = 2 // of the text of a head: as it was parsed, and as it is passed on
	// freeHeadBytes is the memory of a head that every connection may take. Ordinary heads take less.
	freeHeadBytes = 8 << 10
	// readAheadBytes is how much a server reads at once, also beyond the end of a head.
	readAheadBytes = 4 << 10
)

// head is what has been read of the head of a request, and what of it counts in the account of held bytes. The mutex
// of the listener guards it.
type head struct {
	bytes, lines int
	readAhead    int   // lines of the last read, part of which may belong to the next request
	held         int64 // bytes
}

// headMemory returns the memory that a head takes until its request ends.
func headMemory(size, lines int) int64 { return int64(textCopies*size + fieldBytes*lines) }

// LimitHeads makes the listener refuse heads beyond limits. It is to be called before Accept.
func (l *Listener) LimitHeads(limits HeadLimits) { l.heads = limits }

// countHead counts what was read from a connection. It tells whether the head that it belongs to is to be refused.
func (l *Listener) countHead(c *tracked, read []byte, room int) headRefusal {
	if l.heads.Account == nil {
		return headAllowed
	}
	lines := bytes.Count(read, []byte{'\n'})
	l.mu.Lock()
	defer l.mu.Unlock()
	waits := c.state == unused || c.state == idle
	if room <= readAheadBytes && len(read) > 1 { // a larger one goes to the reader of a body, one byte tells of a caller that leaves
		c.head.readAhead = lines
		if waits && endsHead(read) {
			c.head.readAhead = 0
		}
	}
	if !waits {
		return headAllowed
	}
	c.head.bytes += len(read)
	c.head.lines += lines
	if limit := l.heads.Bytes(); limit > 0 && c.head.bytes > limit+readAheadBytes {
		return headTooLarge
	}
	if !l.holdHead(c, headMemory(c.head.bytes, c.head.lines)) {
		return headWithoutMemory
	}
	return headAllowed
}

// holdHead makes a connection hold the memory of its head. It returns false if that does not fit. The caller holds mu.
func (l *Listener) holdHead(c *tracked, memory int64) bool {
	if memory <= freeHeadBytes {
		memory = 0
	}
	if memory > c.head.held && l.heads.Account.Hold(heldbytes.Heads, memory-c.head.held) != nil {
		return false
	}
	if memory < c.head.held {
		l.heads.Account.Release(heldbytes.Heads, c.head.held-memory)
	}
	c.head.held = memory
	return true
}

// nextHead begins with the next head of a connection, of which the server may have read a part ahead. It returns
// false if there is no memory for that. The caller holds mu.
func (l *Listener) nextHead(c *tracked) bool {
	if l.heads.Account == nil {
		return true
	}
	c.head.bytes, c.head.lines = 0, c.head.readAhead
	return l.holdHead(c, headMemory(0, c.head.lines))
}

// settleHead makes a connection hold what the head of the request in progress takes, without what was read behind it.
// It returns false if that does not fit.
func (l *Listener) settleHead(c *tracked, r *http.Request) bool {
	if l.heads.Account == nil {
		return true
	}
	size, lines := len(r.RequestURI), 1
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.state == closed || l.holdHead(c, headMemory(size, lines))
}

// endsHead reports whether what was read ends with an empty line, so that nothing was read beyond the end of a head.
func endsHead(read []byte) bool {
	return bytes.HasSuffix(read, []byte("\r\n\r\n")) || bytes.HasSuffix(read, []byte("\n\n"))
}
