package peer

import (
	"bytes"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	maxMessageBytes    = 16 << 20 // largest WebSocket message
	batchTargetBytes   = 32 << 10 // size from which no more call frames are added to a message
	maxIdleBufferBytes = 4 << 10  // larger read buffers are released between messages
	// retireIdleHeartbeats is how long a replaced link must be idle before it
	// is closed, so that calls the other side has already begun on it can
	// finish.
	retireIdleHeartbeats = 2
)

// link is one authenticated connection to another daemon.
type link struct {
	remote   identity
	dialled  bool // dialled by this daemon
	conn     *websocket.Conn
	network  *Network
	queue    *sendQueue
	outgoing *outgoingTable // calls made by this daemon
	incoming *incomingTable // calls made by the other daemon
	state    atomic.Pointer[remoteState]

	ctx           context.Context
	cancel        context.CancelCauseFunc
	lastReceived  atomic.Int64 // Unix nanoseconds
	lastSent      atomic.Int64 // Unix nanoseconds
	writingSince  atomic.Int64 // Unix nanoseconds; 0: no write in progress
	retiring      atomic.Bool
	clock         *remoteClock // set when the link is registered
	lastClock     atomic.Int64 // local clock at the last clock frame sent
	clockAnswered atomic.Bool  // the first clock frame was answered
}

func newLink(ctx context.Context, network *Network, conn *websocket.Conn, remote identity, dialled bool) *link {
	conn.SetReadLimit(maxMessageBytes)
	l := &link{
		remote:   remote,
		dialled:  dialled,
		conn:     conn,
		network:  network,
		queue:    newSendQueue(),
		outgoing: newOutgoingTable(),
		incoming: newIncomingTable(),
	}
	l.ctx, l.cancel = context.WithCancelCause(ctx)
	l.state.Store(&remoteState{})
	l.lastReceived.Store(time.Now().UnixNano())
	return l
}

// run serves the link until it closes and returns the cause. Reads and writes
// use no cancellable context, which would cost a timer for each of them.
// Instead, the connection is closed when the context of the link ends, which
// unblocks both.
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
	l.outgoing.failAll(&LinkError{Daemon: l.remote.Daemon, Err: err})
	l.incoming.cancelAll()
	_ = l.conn.CloseNow()
	return err
}

// close ends the link at once.
func (l *link) close(err error) { l.cancel(err) }

// retire closes the link after it has been without calls for
// retireIdleHeartbeats. The other side may still begin calls on it until it
// learns of the link that replaces it.
func (l *link) retire(err error) {
	l.retiring.Store(true)
	if awaitQuiet(l.ctx, retireIdleHeartbeats*l.network.options.Heartbeat, l.idle) {
		l.close(err)
	}
}

func (l *link) idle() bool {
	return l.outgoing.size() == 0 && l.incoming.size() == 0 && len(l.queue.calls) == 0
}

// write sends queued frames and heartbeats until the link closes.
func (l *link) write() {
	var batch []byte
	for {
		batch = batch[:0]
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.queue.calls:
			batch = f.appendTo(batch)
		case data := <-l.queue.clock:
			batch = append(batch, data...)
		case <-l.queue.flushNow:
		}
		batch = l.fillBatch(batch)
		if len(batch) == 0 && l.heartbeatDue() {
			batch = append(batch, l.network.heartbeatFrame...)
		}
		if len(batch) == 0 {
			continue
		}
		batch = append(batch, l.clockFrameIfDue()...)
		if err := l.send(batch); err != nil {
			l.cancel(err)
			return
		}
	}
}

// fillBatch appends queued frames to a batch, those of calls before soft state.
func (l *link) fillBatch(batch []byte) []byte {
	for len(batch) < batchTargetBytes {
		select {
		case f := <-l.queue.calls:
			batch = f.appendTo(batch)
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

// send writes one message. checkAlive ends a write that hangs.
func (l *link) send(batch []byte) error {
	l.writingSince.Store(time.Now().UnixNano())
	err := l.conn.Write(context.Background(), websocket.MessageBinary, batch)
	l.writingSince.Store(0)
	if err != nil {
		return err
	}
	l.lastSent.Store(time.Now().UnixNano())
	l.network.counters.sentBytes.Add(len(batch))
	l.network.counters.sentMessages.Inc()
	return nil
}

// check closes the link if it is unresponsive. Otherwise it flushes soft state
// that would exceed its maximum delay before the next check, and triggers a
// heartbeat that is due.
func (l *link) check(now time.Time) {
	waited := l.queue.oldestAge(now) >= l.network.options.MaxPublishDelay-l.network.options.checkPeriod()
	if l.checkAlive(now) && (waited || l.heartbeatDue()) {
		l.queue.flush()
	}
}

// heartbeatDue reports whether a heartbeat must be sent now because the next
// check might be too late for it.
func (l *link) heartbeatDue() bool {
	idle := time.Duration(time.Now().UnixNano() - l.lastSent.Load())
	return idle >= l.network.options.Heartbeat-l.network.options.checkPeriod()
}

// clockFrameIfDue returns a clock frame to send along with a message, or nil if
// the last one is recent.
func (l *link) clockFrameIfDue() []byte {
	elapsed := time.Duration(int64(l.network.clocks.now())-l.lastClock.Load()) * time.Millisecond
	if elapsed < clockHeartbeats*l.network.options.Heartbeat {
		return nil
	}
	return l.clockFrame()
}

// checkAlive closes the link and returns false if no frame has been received,
// or a write has been blocked, for longer than the silence timeout. A time in which this process stood still does
// not count: what arrived meanwhile waits unread.
func (l *link) checkAlive(now time.Time) bool {
	silence := l.network.standstills.Ran(time.Unix(0, l.lastReceived.Load()), now)
	if since := l.writingSince.Load(); since > 0 {
		silence = max(silence, l.network.standstills.Ran(time.Unix(0, since), now))
	}
	if silence <= l.network.options.silenceTimeout() {
		return true
	}
	l.cancel(&SilentError{Silence: silence})
	return false
}

// read handles frames until the link closes and returns the cause.
func (l *link) read() error {
	var message bytes.Buffer
	for {
		if message.Cap() > maxIdleBufferBytes {
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
		l.network.counters.receivedBytes.Add(message.Len())
		if err := l.handleAll(message.Bytes()); err != nil {
			return err
		}
	}
}

// handleAll handles the frames of one message, but does not begin calls that the message itself
// cancels. Decoded frames do not alias data.
func (l *link) handleAll(data []byte) error {
	var frames []frame
	var cancelled []uint64
	for len(data) > 0 {
		var f frame
		var err error
		if data, err = cbor.UnmarshalFirst(data, &f); err != nil {
			return &ProtocolError{Rule: "a message is a sequence of frames: " + err.Error()}
		}
		frames = append(frames, f)
		if f.Kind == frameCancel {
			cancelled = append(cancelled, f.ID)
		}
	}
	for _, f := range frames {
		begins := f.Kind == frameCall || f.Kind == frameOpen
		if !begins || !slices.Contains(cancelled, f.ID) {
			l.handle(f)
		}
	}
	return nil
}

// handle dispatches a frame by type. It must not block.
func (l *link) handle(f frame) {
	switch f.Kind {
	case frameHeartbeat:
	case frameState:
		l.network.handleState(l, f)
	case frameClock:
		l.handleClock(f)
	case framePublish:
		l.network.receive(l, f)
	case frameCall, frameOpen:
		l.network.serveInTime(l, f)
	case frameCancel:
		l.incoming.cancel(f.ID)
	case frameCredit:
		l.incoming.addCredit(f.ID, f.Credit)
	case frameAccepted, frameAnswer, frameEnd, frameFailure:
		l.outgoing.deliver(l, f)
	}
}
