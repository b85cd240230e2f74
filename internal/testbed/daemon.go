package testbed

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/adminapi"
	"github.com/plantainmux/plantainmux/internal/daemon"
	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/settings"
)

// Secrets of the daemons of every bed.
const (
	AdminToken = "testbed-admin-token"
	PeerSecret = "testbed-peer-secret"
)

// Daemon is one daemon of a bed. It runs in the process of the test.
type Daemon struct {
	*daemon.Daemon
	Latch      *Latch
	Link       *fakes.Link // to all engines and services
	DataCentre fleet.DataCentre
	peers      []settings.Peer
	adjust     func(*settings.Settings)
	stop       context.CancelFunc
	done       chan struct{}
	once       sync.Once
}

// StartDaemon starts a daemon without peers and with short intervals and timeouts.
// adjust, which may be nil, changes its settings.
func (b *Bed) StartDaemon(dataCentre fleet.DataCentre, adjust func(*settings.Settings)) *Daemon {
	return b.start(dataCentre, listen(Loopback), nil, adjust)
}

func (b *Bed) start(dataCentre fleet.DataCentre, listener net.Listener, peers []settings.Peer, adjust func(*settings.Settings)) *Daemon {
	s := settings.Settings{
		DataCentre: dataCentre,
		Listen:     settings.Listen{Caller: Loopback, Peer: listener.Addr().String(), Admin: Loopback},
		Peers:      peers,
		Platform:   b.Platform(),
		PeerSecret: PeerSecret,
		AdminToken: AdminToken,
		Timing:     settings.Timing{PollMS: 100, ReportBoundMS: 600, ReconcileMS: 50, VMListMS: 200, DrainNoticeMS: 300, PeerHeartbeatMS: 150},
	}
	if adjust != nil {
		adjust(&s)
	}
	s = s.WithDefaults()
	latch := NewLatch()
	link := fakes.NewLink()
	adapters := gated(connectedBy(daemon.NewAdapters(s), link), latch)
	at := location{dataCentre: dataCentre, gate: latch}
	b.network.add(listener.Addr().String(), at)
	adapters.PeerListener = listener
	adapters.PeerDial = b.network.dialer(at)
	built, err := daemon.New(s, adapters, b.logger)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{Daemon: built, Latch: latch, Link: link, DataCentre: dataCentre, peers: peers, adjust: adjust, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(d.done)
		built.Run(ctx)
	}()
	b.Daemons = append(b.Daemons, d)
	return d
}

// connectedBy makes the daemon's adapters reach engines and services over link.
func connectedBy(adapters daemon.Adapters, link *fakes.Link) daemon.Adapters {
	dial := adapters.Delivery.Dial(delivery.Endpoints, link.DialContext)
	adapters.Engine.(*endpoint.HTTPEngine).ConnectWith(dial, adapters.Delivery.Dial(delivery.Workers, link.DialContext))
	adapters.Service.(*endpoint.HTTPService).ConnectWith(dial)
	return adapters
}

// gated wraps the daemon's adapters so that latch can block them or make them fail.
func gated(adapters daemon.Adapters, latch *Latch) daemon.Adapters {
	adapters.Log = &gatedLog{Log: adapters.Log, gate: latch}
	adapters.VMs = &gatedVMList{VMList: adapters.VMs, gate: latch}
	adapters.Engine = &gatedEngine{Engine: adapters.Engine, gate: latch}
	adapters.Service = &gatedService{Service: adapters.Service, gate: latch}
	return adapters
}

// Stop starts a graceful shutdown and returns a channel that is closed when the
// daemon has ended.
func (d *Daemon) Stop() <-chan struct{} {
	d.stop()
	return d.done
}

// Kill ends the daemon without a graceful shutdown, as SIGKILL would. Unlike with
// SIGKILL, its goroutines still finish the operations in progress.
func (d *Daemon) Kill() {
	d.once.Do(func() {
		d.Daemon.Kill()
		d.stop()
	})
}

// Status fetches the daemon's status from its admin address.
func (d *Daemon) Status() (adminapi.Status, error) {
	var status adminapi.Status
	request, err := http.NewRequest(http.MethodGet, "http://"+d.AdminAddress()+"/admin/status", nil)
	if err != nil {
		return status, err
	}
	request.Header.Set("Authorization", "Bearer "+AdminToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// CompleteGroups returns the groups of a model that the daemon reports as
// complete; none if the status cannot be fetched.
func (d *Daemon) CompleteGroups(model fleet.ModelName) []fleet.Group {
	status, err := d.Status()
	if err != nil {
		return nil
	}
	var groups []fleet.Group
	for _, g := range status.Groups {
		if g.Model == model && g.Condition == group.Complete {
			groups = append(groups, g.Group)
		}
	}
	return groups
}

// Metrics returns the daemon's metrics as text; empty if they cannot be fetched.
func (d *Daemon) Metrics() string {
	response, err := http.Get("http://" + d.AdminAddress() + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	page, _ := io.ReadAll(response.Body)
	return string(page)
}

// Post sends a caller's request with a team key and returns the response.
func (d *Daemon) Post(path, key, body string, header http.Header) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+key)
	return http.DefaultClient.Do(request)
}
