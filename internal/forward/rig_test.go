package forward_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/peer"
)

const (
	heartbeat   = 100 * time.Millisecond
	linkTimeout = 5 * time.Second
	cancelBound = 500 * time.Millisecond // from the caller's leaving to its end at the endpoint
)

// rig is two daemons and an endpoint: "entry" forwards to "helper", which sends to the endpoint.
type rig struct {
	entry, helper *peer.Network
	meshLink      *fakes.Link // from the entry to the helper
	endpointLink  *fakes.Link // from the helper to the endpoint
	client        *forward.Client
	declined      atomic.Pointer[outbound.NotSentError]

	endpoint *httptest.Server
	arrived  atomic.Int32  // requests at the endpoint
	gone     atomic.Int32  // of these, whose connection closed before the answer was complete
	proceed  chan struct{} // each value lets an answer go on by one step
	mu       sync.Mutex
	requests []string
}

// newRig starts the daemons. The endpoint answers with a head and three events, each after a value
// of proceed.
func newRig() *rig { return newRigWith(heartbeat) }

// newRigWith is newRig with another interval of heartbeats on the link between the daemons.
func newRigWith(heartbeat time.Duration) *rig {
	r := &rig{meshLink: fakes.NewLink(), endpointLink: fakes.NewLink(), proceed: make(chan struct{}, 16)}
	r.endpoint = httptest.NewServer(http.HandlerFunc(r.serve))
	DeferCleanup(func() { r.endpoint.CloseClientConnections(); r.endpoint.Close() })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r.helper = startNode("helper", nil, heartbeat)
	direct := &outbound.HTTPSender{Pooled: r.transport(false), Fresh: r.transport(true)}
	forward.NewServer(r.helper, forward.ServerDependencies{Direct: direct, Admit: r.admit, Count: func(string) {}, Logger: slog.New(slog.DiscardHandler)})
	server := &http.Server{Handler: r.helper.Handler()}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	r.entry = startNode("entry", r.meshLink, heartbeat)
	r.entry.Connect(peer.Address{HostPort: listener.Addr().String(), DataCentre: "north"})
	Expect(r.entry.AwaitLink(context.Background(), "helper", linkTimeout)).To(BeTrue())
	r.client = forward.NewClient(r.entry)
	return r
}

func startNode(id fleet.DaemonID, link *fakes.Link, heartbeat time.Duration) *peer.Network {
	options := peer.Options{Self: id, DataCentre: "north", Secret: "secret", Heartbeat: heartbeat}
	if link != nil {
		options.Dial = link.DialContext
	}
	node, err := peer.NewNetwork(options)
	Expect(err).NotTo(HaveOccurred())
	go node.Run()
	DeferCleanup(node.Close)
	return node
}

func (r *rig) transport(fresh bool) *http.Transport {
	t := &http.Transport{DialContext: r.endpointLink.DialContext, DisableKeepAlives: fresh, DisableCompression: true}
	DeferCleanup(t.CloseIdleConnections)
	return t
}

func (r *rig) admit(_ fleet.DaemonID, wanted outbound.Exchange) (outbound.Endpoint, func(), *outbound.NotSentError) {
	return wanted.Endpoint, func() {}, r.declined.Load()
}

func (r *rig) serve(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	r.mu.Lock()
	r.requests = append(r.requests, fmt.Sprintf("%s %s %s %s", request.Method, request.RequestURI, request.Header.Get("X-Test"), body))
	r.mu.Unlock()
	r.arrived.Add(1)
	for step := range 4 {
		select {
		case <-r.proceed:
		case <-request.Context().Done():
			r.gone.Add(1)
			return
		}
		if step == 0 {
			w.Header().Set("X-Answer", "yes")
			w.WriteHeader(http.StatusAccepted)
		} else {
			_, _ = fmt.Fprintf(w, "event %d\n", step)
		}
		w.(http.Flusher).Flush()
	}
}

// exchange returns an exchange with the endpoint.
func (r *rig) exchange() outbound.Exchange {
	address := r.endpoint.Listener.Addr().String()
	return outbound.Exchange{
		RequestID: "r1", Endpoint: outbound.Endpoint{Key: "e", Address: address}, Method: http.MethodPost, Target: "/x?y=1", Host: "h.example",
		Header: http.Header{"X-Test": {"t"}}, Body: []byte("body"), Fresh: true,
	}
}

// answers lets the endpoint go on by steps.
func (r *rig) answers(steps int) {
	for range steps {
		r.proceed <- struct{}{}
	}
}
