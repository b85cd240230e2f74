package gossip

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/keyed"
)

// Topic is the store topic that holds the registrations of the daemons.
const Topic = "keyed.daemons"

// readerKey is the rendezvous hashing key that selects the reader of a data centre.
const readerKey = "reader"

const (
	minInterval      = 100 * time.Millisecond // between two datagrams to the same peer
	sendsPerS        = 80                     // datagrams per second that a daemon sends in total, for any number of peers
	directSendsPerS  = 40                     // datagrams per second that a daemon sends directly to peers when hubs distribute the state
	liveIntervals    = 6                      // missed intervals after which a peer is considered down
	lostAfter        = 5 * time.Second        // without a datagram from a peer, after which the sending rate to it is reduced
	lostSendInterval = time.Second            // between two datagrams to a peer that is considered lost
	maxDatagram      = 16 << 10               // bytes
	minLiveTimeout   = 700 * time.Millisecond // lower bound of the silence after which a peer is considered down
)

// Dependencies are the inputs and callbacks of Gossip.
type Dependencies struct {
	Node         string
	DataCentre   string
	Address      string // IP and port of this daemon
	Incarnation  int64
	CPUShare     float64               // of a core, that this daemon may use; 0 if not known
	LocalMessage func() Message        // returns the state to send; Gossip fills in Node, Incarnation and Sequence
	OnMessage    func(message Message) // receives the message of one daemon, or a digest converted to a message
	Logger       *slog.Logger
}

// Gossip exchanges state with the other daemons in UDP datagrams.
type Gossip struct {
	Dependencies
	conn *net.UDPConn

	mu             sync.Mutex
	peers          map[string]*Peer
	byHash         map[uint32]*Peer
	everRegistered map[string]bool // names of all other daemons ever registered
	digests        map[string]*receivedDigest
	sequence       uint64
	registered     bool // this daemon's own registration has been read

	standstills   awake.Standstills // of this process, by Run
	delay         atomic.Int64      // nanoseconds; returned by Delay
	hubInterval   time.Duration     // between two sends to or from hubs
	lastHubSend   time.Time
	isHub         bool      // this daemon acts as a hub
	chosenAsHubAt time.Time // zero if this daemon is not chosen as a hub
	lastHubs      []string  // hubs of this data centre when its digest was last fresh
}

// New opens the UDP socket. It returns an error if the address cannot be resolved or bound.
func New(dependencies Dependencies) (*Gossip, error) {
	address, err := net.ResolveUDPAddr("udp4", dependencies.Address)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return &Gossip{Dependencies: dependencies, conn: conn, peers: map[string]*Peer{}, byHash: map[uint32]*Peer{}, digests: map[string]*receivedDigest{}, everRegistered: map[string]bool{}, standstills: awake.Standstills{Interval: minInterval}, hubInterval: minInterval}, nil
}

// Registration returns the store record that registers this daemon with the others.
func (g *Gossip) Registration() (keyed.Record, error) {
	value, err := cbor.Marshal(Registration{Address: g.Address, DataCentre: g.DataCentre, Incarnation: g.Incarnation, CPUShare: g.CPUShare})
	return keyed.Record{Key: g.Node, Value: value}, merry.Wrap(err)
}

// Apply adds, updates and removes peers according to the registrations in batch. It reports whether the newest one of this
// daemon is that of an earlier life, which the store has carried out after its own.
func (g *Gossip) Apply(batch keyed.Batch) (superseded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, record := range batch.Records {
		if record.Key == g.Node {
			superseded = g.observeOwn(record)
			continue
		}
		g.register(record)
	}
	return superseded
}

// observeOwn reports whether a registration of this daemon is that of an earlier life that comes after its own.
func (g *Gossip) observeOwn(record keyed.Record) bool {
	var registration Registration
	if record.Value == nil || cbor.Unmarshal(record.Value, &registration) != nil {
		return false
	}
	g.registered = g.registered || registration.Incarnation == g.Incarnation
	return g.registered && registration.Incarnation < g.Incarnation
}

func (g *Gossip) register(record keyed.Record) {
	if record.Value == nil {
		delete(g.peers, record.Key)
		delete(g.byHash, HashKey(record.Key))
		return
	}
	var registration Registration
	if err := cbor.Unmarshal(record.Value, &registration); err != nil {
		g.Logger.Warn("invalid daemon registration ignored", "node", record.Key, "error", merry.Wrap(err))
		return
	}
	existing := g.peers[record.Key]
	if existing != nil && existing.Incarnation >= registration.Incarnation {
		return
	}
	peer := &Peer{Node: record.Key, Address: registration.Address, DataCentre: registration.DataCentre, Incarnation: registration.Incarnation, CPUShare: registration.CPUShare, learntAt: time.Now()}
	g.peers[record.Key] = peer
	g.byHash[HashKey(record.Key)] = peer
	g.everRegistered[record.Key] = true
}

// Run sends and receives datagrams until ctx is done.
func (g *Gossip) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	var wait sync.WaitGroup
	wait.Go(g.receive)
	ticker := time.NewTicker(minInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		g.send(time.Now())
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	wait.Wait()
}

func (g *Gossip) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		var message Message
		if err := cbor.Unmarshal(buffer[:n], &message); err != nil {
			continue // not sent by a daemon
		}
		from := g.acceptMessage(message)
		if from == nil {
			continue
		}
		g.OnMessage(message)
		for _, digest := range g.acceptDigests(message.Digests, time.Now()) {
			g.OnMessage(digest)
		}
	}
}

// acceptMessage records a message and returns its sender. It returns nil if the sender
// is not registered or the message is older than the last one accepted from it.
func (g *Gossip) acceptMessage(message Message) *Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	peer := g.peers[message.Node]
	if peer == nil || message.Incarnation < peer.Incarnation {
		return nil
	}
	if message.Incarnation == peer.Incarnation && message.Sequence <= peer.sequence {
		return nil
	}
	peer.Incarnation = message.Incarnation
	peer.sequence = message.Sequence
	now := time.Now()
	peer.lastSeen, peer.lastReceived = now, now
	peer.reachesStore, peer.draining, peer.cutOff = message.Store, message.Draining, message.CutOff
	peer.message = message
	return peer
}

func (g *Gossip) send(now time.Time) {
	g.standstills.Look(now)
	message := g.LocalMessage()
	message.Node = g.Node
	message.Incarnation = g.Incarnation
	g.sequence++
	message.Sequence = g.sequence
	for _, outgoing := range g.datagrams(message, now) {
		sent := message
		if outgoing.brief {
			sent = message.brief()
		}
		if !outgoing.to.isNew(now) {
			sent.Departures = nil
		}
		sent.Digests = outgoing.digests
		data, err := cbor.Marshal(sent)
		if err != nil {
			g.Logger.Error("failed to encode gossip message", "error", merry.Wrap(err))
			return
		}
		to, err := net.ResolveUDPAddr("udp4", outgoing.to.Address)
		if err == nil {
			_, _ = g.conn.WriteToUDP(data, to) // send errors are ignored: the next datagram carries the complete state again
		}
	}
}

// datagrams returns the datagrams to send now, at most one for each peer: all of them
// carry the same sequence number, so that a receiver would drop a second one as a
// duplicate.
func (g *Gossip) datagrams(own Message, now time.Time) []datagram {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateDelay()
	var datagrams []datagram
	if g.usesHubs() {
		datagrams = g.hubDatagrams(own, now)
	}
	for _, outgoing := range datagrams {
		outgoing.to.lastSent = now
	}
	for _, peer := range g.duePeers(now) {
		datagrams = append(datagrams, datagram{to: peer, brief: g.learnsFromDigests(peer, now)})
	}
	return datagrams
}

// duePeers returns the peers whose next direct datagram is due.
func (g *Gossip) duePeers(now time.Time) []*Peer {
	interval := g.interval()
	var due []*Peer
	for _, peer := range g.peers {
		peerInterval := interval
		if now.Sub(peer.lastSeen) > lostAfter {
			peerInterval = max(interval, lostSendInterval)
		}
		if now.Sub(peer.lastSent) >= peerInterval-minInterval/4 {
			peer.lastSent = now
			due = append(due, peer)
		}
	}
	return due
}

// interval returns the time between two direct datagrams to the same peer. It grows
// with the number of peers, so that the daemon's total sending rate stays constant.
func (g *Gossip) interval() time.Duration {
	rate := time.Duration(sendsPerS)
	if g.usesHubs() {
		rate = directSendsPerS
	}
	return max(minInterval, time.Duration(len(g.peers))*time.Second/rate)
}

// HashKey returns the 32-bit hash that identifies a target or daemon in messages.
func HashKey(key string) uint32 { return uint32(xxhash.Sum64String(key)) }
