package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/alitto/pond/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	maxServed   = 2048 // calls and streams of other daemons in progress
	servedQueue = 1    // calls that wait beyond them
)

// Network is the mesh over WebSocket connections.
type Network struct {
	options        Options
	self           identity
	counters       *counters
	pool           pond.Pool
	heartbeatFrame []byte

	handlers     map[Topic]Handler
	callHandlers map[Method]CallHandler
	openHandlers map[Method]OpenHandler

	routing  atomic.Pointer[routing]
	windows  *windows
	clocks   *clocks
	sequence atomic.Uint64
	turn     atomic.Uint64

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu      sync.Mutex
	links   map[fleet.DaemonID]*link // in use, one for each daemon
	running map[*link]bool           // in use or retiring
	changed chan struct{}            // closed and replaced when links change
	leaving bool
	logAway bool
	told    remoteState
}

// NewNetwork returns a mesh that has not started.
func NewNetwork(options Options) (*Network, error) {
	heartbeat, err := encodeFrame(frame{Kind: frameHeartbeat})
	if err != nil {
		return nil, &EncodeError{Type: "heartbeat", Err: err}
	}
	n := &Network{
		options:        options.withDefaults(),
		self:           identity{Version: protocolVersion, Daemon: options.Self, DataCentre: options.DataCentre},
		pool:           pond.NewPool(maxServed, pond.WithQueueSize(servedQueue), pond.WithNonBlocking(true)),
		heartbeatFrame: heartbeat,
		handlers:       map[Topic]Handler{},
		callHandlers:   map[Method]CallHandler{},
		openHandlers:   map[Method]OpenHandler{},
		windows:        newWindows(),
		clocks:         newClocks(),
		links:          map[fleet.DaemonID]*link{},
		running:        map[*link]bool{},
		changed:        make(chan struct{}),
	}
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

// WithLog implements Mesh.
func (n *Network) WithLog() []fleet.DaemonID { return n.routing.Load().withLog }

// DataCentres implements Mesh.
func (n *Network) DataCentres() []fleet.DataCentre { return n.routing.Load().dataCentres }

// Subscribe implements Mesh.
func (n *Network) Subscribe(topic Topic, handler Handler) { n.handlers[topic] = handler }

// HandleCall implements Mesh.
func (n *Network) HandleCall(method Method, handler CallHandler) { n.callHandlers[method] = handler }

// HandleOpen implements Mesh.
func (n *Network) HandleOpen(method Method, handler OpenHandler) { n.openHandlers[method] = handler }

func (n *Network) nextTurn() int { return int(n.turn.Add(1) % (1 << 16)) }

func (n *Network) size() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}
