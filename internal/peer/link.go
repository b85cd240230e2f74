package peer

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	messageBytes = 16 << 20 // largest WebSocket message
	batchBytes   = 32 << 10 // size at which a message is closed
	keptBytes    = 4 << 10  // largest buffer that an idle link keeps
	// retireHeartbeats is how long a link that is no longer used stays open for
	// calls that the other side has already begun.
	retireHeartbeats = 2
)

// link is one proved connection to another daemon.
type link struct {
	remote  identity
	dialled bool // by this daemon
	conn    *websocket.Conn
	owner   *Network
	queue   *sendQueue
	calls   *callTable  // made by this daemon
	serving *serveTable // made by the other daemon
	state   atomic.Pointer[remoteState]

	ctx          context.Context
	cancel       context.CancelCauseFunc
	lastReceived atomic.Int64 // Unix nanoseconds
	lastSent     atomic.Int64 // Unix nanoseconds
	writingSince atomic.Int64 // Unix nanoseconds; 0: no message is being written
	retiring     atomic.Bool
	clock        *remoteClock // set when the link is registered
	lastClock    atomic.Int64 // own clock at the last clock frame
	greeted      atomic.Bool  // a clock frame was answered
}

func newLink(ctx context.Context, owner *Network, conn *websocket.Conn, remote identity, dialled bool) *link {
	conn.SetReadLimit(messageBytes)
	l := &link{
		remote:  remote,
		dialled: dialled,
		conn:    conn,
		owner:   owner,
		queue:   newSendQueue(),
		calls:   newCallTable(),
		serving: newServeTable(),
	}
	l.ctx, l.cancel = context.WithCancelCause(ctx)
	l.state.Store(&remoteState{})
	l.lastReceived.Store(time.Now().UnixNano())
	return l
}

// run serves the link until it closes and returns why it did. Reads and writes
// take no context, which would cost each of them a timer: the end of the link's
// own closes the connection under them.
func (l *link) run() error {
	stop := context.AfterFunc(l.ctx, func() { _ = l.conn.CloseNow() })
	defer stop()
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.write()
	}()
	l.cancel(l.read())
	<-written
	err := context.Cause(l.ctx)
	l.calls.failAll(&BrokenError{Daemon: l.remote.Daemon, Err: err})
	l.serving.cancelAll()
	_ = l.conn.CloseNow()
	return err
}

// close ends the link at once.
func (l *link) close(err error) { l.cancel(err) }

// retire ends the link when no call has been in progress on it for some time.
// The other side may still begin calls on it until it knows of a better one.
func (l *link) retire(err error) {
	l.retiring.Store(true)
	quiet := 0
	for quiet < retireHeartbeats {
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(l.owner.options.Heartbeat):
		}
		quiet++
		if !l.idle() {
			quiet = 0
		}
	}
	l.close(err)
}

func (l *link) idle() bool {
	return l.calls.size() == 0 && l.serving.size() == 0 && len(l.queue.calls) == 0
}

// write sends queued frames and heartbeats until the link closes.
func (l *link) write() {
	var batch []byte
	for {
		batch = batch[:0]
		select {
		case <-l.ctx.Done():
			return
		case data := <-l.queue.calls:
			batch = append(batch, data...)
		case <-l.queue.due:
		}
		batch = l.fill(batch)
		if len(batch) == 0 && l.heartbeatDue() {
			batch = append(batch, l.owner.heartbeatFrame...)
		}
		if len(batch) == 0 {
			continue
		}
		batch = append(batch, l.clockWhenDue()...)
		if err := l.send(batch); err != nil {
			l.cancel(err)
			return
		}
	}
}

// fill adds what waits to a batch. Calls go before soft state.
func (l *link) fill(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case data := <-l.queue.calls:
			batch = append(batch, data...)
			continue
		default:
		}
		break
	}
	for _, data := range l.queue.takeSoft() {
		batch = append(batch, data...)
	}
	return batch
}

// send writes one message. A write that hangs is ended by checkAlive.
func (l *link) send(batch []byte) error {
	l.writingSince.Store(time.Now().UnixNano())
	err := l.conn.Write(context.Background(), websocket.MessageBinary, batch)
	l.writingSince.Store(0)
	if err != nil {
		return err
	}
	l.lastSent.Store(time.Now().UnixNano())
	l.owner.counters.sentBytes.Add(len(batch))
	l.owner.counters.sentMessages.Inc()
	return nil
}

// look lets go what has waited for long, and a heartbeat when nothing was sent
// for long.
func (l *link) look(now time.Time) {
	waited := l.queue.oldestAge(now) >= l.owner.options.MaxWait-l.owner.options.lookPeriod()
	if l.checkAlive() && (waited || l.heartbeatDue()) {
		l.queue.flush()
	}
}

// heartbeatDue reports whether nothing was sent for so long that the next look
// might come late.
func (l *link) heartbeatDue() bool {
	idle := time.Duration(time.Now().UnixNano() - l.lastSent.Load())
	return idle >= l.owner.options.Heartbeat-l.owner.options.lookPeriod()
}

// clockWhenDue returns a clock frame to go with a message, or nothing when one
// was sent lately.
func (l *link) clockWhenDue() []byte {
	elapsed := time.Duration(int64(l.owner.clocks.now())-l.lastClock.Load()) * time.Millisecond
	if elapsed < clockHeartbeats*l.owner.options.Heartbeat {
		return nil
	}
	return l.clockFrame()
}

// checkAlive closes a link that was silent for too long, or that has taken no
// message for as long.
func (l *link) checkAlive() bool {
	now := time.Now().UnixNano()
	silence := time.Duration(now - l.lastReceived.Load())
	if since := l.writingSince.Load(); since > 0 {
		silence = max(silence, time.Duration(now-since))
	}
	if silence <= l.owner.options.silence() {
		return true
	}
	l.cancel(&SilentError{Silence: silence})
	return false
}

// read handles frames until the link closes and returns why it did.
func (l *link) read() error {
	var message bytes.Buffer
	for {
		if message.Cap() > keptBytes {
			message = bytes.Buffer{}
		}
		message.Reset()
		_, reader, err := l.conn.Reader(context.Background())
		if err != nil {
			return err
		}
		if _, err := message.ReadFrom(reader); err != nil {
			return err
		}
		l.lastReceived.Store(time.Now().UnixNano())
		l.owner.counters.receivedBytes.Add(message.Len())
		if err := l.handleAll(message.Bytes()); err != nil {
			return err
		}
	}
}

// handleAll handles the frames of one message. They keep nothing of data.
func (l *link) handleAll(data []byte) error {
	for len(data) > 0 {
		var f frame
		var err error
		if data, err = cbor.UnmarshalFirst(data, &f); err != nil {
			return &ProtocolError{Rule: "a message is a sequence of frames: " + err.Error()}
		}
		l.handle(f)
	}
	return nil
}

// handle must not block.
func (l *link) handle(f frame) {
	switch f.Kind {
	case frameHeartbeat:
	case frameState:
		l.owner.noteState(l, f)
	case frameClock:
		l.noteClock(f)
	case framePublish:
		l.owner.receive(l, f)
	case frameCall:
		l.owner.serveCall(l, f)
	case frameOpen:
		l.owner.serveOpen(l, f)
	case frameCancel:
		l.serving.cancel(f.ID)
	case frameCredit:
		l.serving.addCredit(f.ID, f.Credit)
	case frameAccepted, frameAnswer, frameEnd, frameFailure:
		l.calls.deliver(l, f)
	}
}
