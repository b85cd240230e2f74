package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/alitto/pond/v2"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	maxIncomingCalls    = 2048 // concurrent calls and streams of other daemons
	incomingQueueLength = 1    // calls that may queue beyond maxIncomingCalls
)

// Network implements Mesh over WebSocket connections.
type Network struct {
	options        Options
	self           identity
	counters       *counters
	pool           pond.Pool
	heartbeatFrame []byte

	handlers       map[Topic]Handler
	callHandlers   map[Method]CallHandler
	streamHandlers map[Method]StreamHandler

	routing      atomic.Pointer[routing]
	deduplicator *deduplicator
	clocks       *clocks
	standstills  awake.Standstills // of this process, by checkLoop
	sequence     atomic.Uint64
	rotation     atomic.Uint64

	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	starting sync.Mutex // between the start of a task and the cancellation of ctx

	mu             sync.Mutex
	links          map[fleet.DaemonID]*link // in use, one for each daemon
	running        map[*link]bool           // in use or retiring
	changed        chan struct{}            // closed and replaced when links change
	leaving        bool
	logUnreachable bool
	cutOff         bool
	announced      remoteState
}

// NewNetwork returns a mesh that is not running yet.
func NewNetwork(options Options) (*Network, error) {
	heartbeat, err := encodeFrame(frame{Kind: frameHeartbeat})
	if err != nil {
		return nil, &EncodeError{Type: "heartbeat", Err: err}
	}
	n := &Network{
		options:        options.withDefaults(),
		self:           identity{Version: protocolVersion, Daemon: options.Self, DataCentre: options.DataCentre},
		pool:           pond.NewPool(maxIncomingCalls, pond.WithQueueSize(incomingQueueLength), pond.WithNonBlocking(true)),
		heartbeatFrame: heartbeat,
		handlers:       map[Topic]Handler{},
		callHandlers:   map[Method]CallHandler{},
		streamHandlers: map[Method]StreamHandler{},
		deduplicator:   newDeduplicator(),
		clocks:         newClocks(),
		links:          map[fleet.DaemonID]*link{},
		running:        map[*link]bool{},
		changed:        make(chan struct{}),
	}
	n.standstills.Interval = n.options.checkPeriod()
	n.counters = newCounters(n.options.Metrics)
	n.options.Metrics.Gauge("plantainmux_peer_links", func() float64 { return float64(n.size()) })
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.routing.Store(newRouting(n.self, remoteState{}, n.links))
	return n, nil
}

// Self implements Mesh.
func (n *Network) Self() fleet.DaemonID { return n.options.Self }

// Live implements Mesh.
func (n *Network) Live() []fleet.DaemonID { return n.routing.Load().live }

// LogReaders implements Mesh.
func (n *Network) LogReaders() []fleet.DaemonID { return n.routing.Load().logReaders }

// EndpointReachers implements Mesh.
func (n *Network) EndpointReachers() []fleet.DaemonID { return n.routing.Load().reachers }

// DataCentres implements Mesh.
func (n *Network) DataCentres() []fleet.DataCentre { return n.routing.Load().dataCentres }

// Subscribe implements Mesh.
func (n *Network) Subscribe(topic Topic, handler Handler) { n.handlers[topic] = handler }

// HandleCall implements Mesh.
func (n *Network) HandleCall(method Method, handler CallHandler) { n.callHandlers[method] = handler }

// HandleStream implements Mesh.
func (n *Network) HandleStream(method Method, handler StreamHandler) {
	n.streamHandlers[method] = handler
}

func (n *Network) nextRotation() int { return int(n.rotation.Add(1) % (1 << 16)) }

func (n *Network) size() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}
