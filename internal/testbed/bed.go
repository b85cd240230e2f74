package testbed

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/settings"
)

// Loopback is the listen address of every part of a bed; the system chooses the
// port.
const Loopback = "127.0.0.1:0"

const (
	publishTimeout = 20 * time.Second
	logAppendRate  = 1000 // appends per second
)

// Bed is a test cluster: fakes of the platform and of engines, with daemons.
type Bed struct {
	Log     *fakes.Log
	VMList  *fakes.VMList
	Engines map[fleet.VMID]*Engine
	Daemons []*Daemon
	logger  *slog.Logger
	network *peerNetwork

	logServer *fakes.Server
	vmServer  *fakes.Server
}

// New returns a bed without engines and daemons. Its fakes and daemons end with
// the spec. If PLANTAINMUX_TEST_LOG is set, the daemons log to GinkgoWriter.
func New() *Bed {
	b := &Bed{
		Log:     fakes.NewLog(logAppendRate),
		VMList:  fakes.NewVMList(),
		Engines: map[fleet.VMID]*Engine{},
		logger:  slog.New(slog.DiscardHandler),
		network: newPeerNetwork(),
	}
	if os.Getenv("PLANTAINMUX_TEST_LOG") != "" {
		b.logger = slog.New(slog.NewJSONHandler(GinkgoWriter, nil))
	}
	b.logServer = Serve(b.Log.Handler())
	b.vmServer = Serve(b.VMList.Handler())
	DeferCleanup(b.killDaemons)
	return b
}

// Platform returns the addresses of the bed's fakes, for the settings of a daemon.
func (b *Bed) Platform() settings.Platform {
	return settings.Platform{Log: b.logServer.URL(), VMs: b.vmServer.URL()}
}

func (b *Bed) killDaemons() {
	for _, d := range b.Daemons {
		d.Kill()
	}
}

// AddEngines starts count engines in one fabric domain and adds their VMs to the
// VM list. The VM IDs are DOMAIN-0, DOMAIN-1 and so on.
func (b *Bed) AddEngines(dataCentre fleet.DataCentre, domain fleet.FabricDomain, count int, options fakes.EngineOptions) []*Engine {
	engines := make([]*Engine, 0, count)
	for i := range count {
		options.VM = fleet.VMID(fmt.Sprintf("%s-%d", domain, i))
		engine := startEngine(options)
		b.Engines[options.VM] = engine
		b.VMList.Put(engine.VM(dataCentre, domain))
		engines = append(engines, engine)
	}
	return engines
}

// Publish publishes a configuration based on version base and returns its version.
// It fails the spec if base is not the version in force.
func (b *Bed) Publish(base infra.Offset, configuration config.Configuration) infra.Offset {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	stream := logstream.New(infra.NewHTTPLog(b.logServer.URL()), config.StreamName, config.NewFold(), logstream.Options{
		Writer: fmt.Sprintf("publisher-%d", time.Now().UnixNano()),
		Logger: b.logger,
	})
	go stream.Run(ctx)
	receipt, err := stream.Propose(ctx, config.KindPublish, config.Publish{Base: base, Configuration: configuration})
	Expect(err).NotTo(HaveOccurred())
	Expect(receipt.Rejection).NotTo(HaveOccurred())
	return receipt.Offset
}

// Serve serves a fake on loopback until the end of the spec.
func Serve(handler http.Handler) *fakes.Server {
	server, err := fakes.StartServer(Loopback, handler)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Kill)
	return server
}
