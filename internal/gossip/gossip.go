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

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// Topic is the topic of the registrations.
const Topic = "keyed.daemons"

// readerKey is the key by which the reader of a data centre is chosen.
const readerKey = "reader"

const (
	minInterval   = 100 * time.Millisecond // between two datagrams to one peer
	sendsPerS     = 80                     // datagrams of one daemon, however many peers there are
	starSendsPerS = 40                     // of those that go to peers directly where hubs tell the most
	liveInterval  = 6                      // intervals of silence after which a peer counts as gone
	lostAfter     = 5 * time.Second        // of silence, after which a peer is told less often
	lostInterval  = time.Second            // between two datagrams to such a peer
	maxDatagram   = 16 << 10               // bytes
	minLive       = 700 * time.Millisecond
)

// Dependencies are what the gossip of a daemon works with.
type Dependencies struct {
	Node        string
	Zone        string
	Address     string // own IP and port
	Incarnation int64
	Tell        func() Message        // what to tell; the sender's fields are filled in
	OnMessage   func(message Message) // of one daemon, or of all that a digest counts
	Logger      *slog.Logger
}

// Gossip exchanges datagrams with the other daemons.
type Gossip struct {
	Dependencies
	conn *net.UDPConn

	mu       sync.Mutex
	peers    map[string]*Peer
	byHash   map[uint32]*Peer
	zones    map[string]*heardDigest
	sequence uint64

	delay    atomic.Int64  // nanoseconds, as Delay returns it
	unit     time.Duration // interval of the star
	starSent time.Time
	hub      bool      // this daemon acts as a hub
	hubSince time.Time // zero: it is not chosen
	lastHubs []string  // of the own data centre, when their digest was fresh last
}

// New listens for datagrams. It fails if the address cannot be had.
func New(dependencies Dependencies) (*Gossip, error) {
	address, err := net.ResolveUDPAddr("udp4", dependencies.Address)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return &Gossip{Dependencies: dependencies, conn: conn, peers: map[string]*Peer{}, byHash: map[uint32]*Peer{}, zones: map[string]*heardDigest{}, unit: minInterval}, nil
}

// Own returns the record that registers this daemon.
func (g *Gossip) Own() (keyed.Record, error) {
	value, err := cbor.Marshal(Registration{Address: g.Address, Zone: g.Zone, Incarnation: g.Incarnation})
	return keyed.Record{Key: g.Node, Value: value}, merry.Wrap(err)
}

// Apply takes the registrations of daemons.
func (g *Gossip) Apply(batch keyed.Batch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, record := range batch.Records {
		g.register(record)
	}
}

func (g *Gossip) register(record keyed.Record) {
	if record.Key == g.Node {
		return
	}
	if record.Value == nil {
		delete(g.peers, record.Key)
		delete(g.byHash, HashKey(record.Key))
		return
	}
	var registration Registration
	if err := cbor.Unmarshal(record.Value, &registration); err != nil {
		g.Logger.Warn("registration refused", "node", record.Key, "error", merry.Wrap(err))
		return
	}
	known := g.peers[record.Key]
	if known != nil && known.Incarnation >= registration.Incarnation {
		return
	}
	peer := &Peer{Node: record.Key, Address: registration.Address, Zone: registration.Zone, Incarnation: registration.Incarnation}
	g.peers[record.Key] = peer
	g.byHash[HashKey(record.Key)] = peer
}

// Run sends and receives until ctx ends.
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
			continue // a datagram of nobody we know
		}
		from := g.take(message)
		if from == nil {
			continue
		}
		g.OnMessage(message)
		for _, digest := range g.takeZones(message.Zones, time.Now()) {
			g.OnMessage(digest)
		}
	}
}

// take notes a datagram, and returns its sender unless it is unknown or the
// datagram is older than one that came before.
func (g *Gossip) take(message Message) *Peer {
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
	peer.heard, peer.told = now, now
	peer.store, peer.draining = message.Store, message.Draining
	peer.message = message
	return peer
}

func (g *Gossip) send(now time.Time) {
	message := g.Tell()
	message.Node = g.Node
	message.Incarnation = g.Incarnation
	g.sequence++
	message.Sequence = g.sequence
	for _, parcel := range g.parcels(message, now) {
		message.Zones = parcel.zones
		data, err := cbor.Marshal(message)
		if err != nil {
			g.Logger.Error("gossip not encoded", "error", merry.Wrap(err))
			return
		}
		to, err := net.ResolveUDPAddr("udp4", parcel.to.Address)
		if err == nil {
			_, _ = g.conn.WriteToUDP(data, to) // a lost datagram is made good by the next
		}
	}
}

// parcels returns what goes to whom now. A peer gets one datagram at most: the
// second one would pass for a repeated one.
func (g *Gossip) parcels(own Message, now time.Time) []parcel {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteDelay()
	var parcels []parcel
	if g.star() {
		parcels = g.starParcels(own, now)
	}
	for _, sent := range parcels {
		sent.to.sent = now
	}
	for _, peer := range g.due(now) {
		parcels = append(parcels, parcel{to: peer})
	}
	return parcels
}

// due returns the peers that are to be told directly now.
func (g *Gossip) due(now time.Time) []*Peer {
	interval := g.interval()
	var due []*Peer
	for _, peer := range g.peers {
		wanted := interval
		if now.Sub(peer.heard) > lostAfter {
			wanted = max(interval, lostInterval)
		}
		if now.Sub(peer.sent) >= wanted-minInterval/4 {
			peer.sent = now
			due = append(due, peer)
		}
	}
	return due
}

// interval is the time between two direct datagrams to a peer. It grows with the
// peers, so that what a daemon sends does not.
func (g *Gossip) interval() time.Duration {
	rate := time.Duration(sendsPerS)
	if g.star() {
		rate = starSendsPerS
	}
	return max(minInterval, time.Duration(len(g.peers))*time.Second/rate)
}

// HashKey returns the short form of a target's key.
func HashKey(key string) uint32 { return uint32(xxhash.Sum64String(key)) }
