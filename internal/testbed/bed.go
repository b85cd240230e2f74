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
)

// Loopback is the address that every part of a bed listens on.
const Loopback = "127.0.0.1:0"

const (
	publishTimeout = 20 * time.Second
	logRate        = 1000 // appends a second
)

// Bed is a platform with engines, services and daemons.
type Bed struct {
	Log     *fakes.Log
	VMList  *fakes.VMList
	Engines map[fleet.VMID]*Engine
	Daemons []*Daemon
	logger  *slog.Logger
	wiring  *wiring

	logServer *fakes.Server
	vmServer  *fakes.Server
}

// New returns a bed without engines and daemons. It is taken down at the end
// of the spec.
func New() *Bed {
	b := &Bed{
		Log:     fakes.NewLog(logRate),
		VMList:  fakes.NewVMList(),
		Engines: map[fleet.VMID]*Engine{},
		logger:  slog.New(slog.DiscardHandler),
		wiring:  newWiring(),
	}
	if os.Getenv("PLANTAINMUX_TEST_LOG") != "" {
		b.logger = slog.New(slog.NewJSONHandler(GinkgoWriter, nil))
	}
	b.logServer = Serve(b.Log.Handler())
	b.vmServer = Serve(b.VMList.Handler())
	DeferCleanup(b.killDaemons)
	return b
}

func (b *Bed) killDaemons() {
	for _, d := range b.Daemons {
		d.Kill()
	}
}

// AddEngines starts count engines in one fabric domain and lists their VMs.
// Their names are the domain's with a number from 0 on.
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

// Publish puts a configuration in force on top of the version base and returns
// its version.
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
	Expect(receipt.Void).NotTo(HaveOccurred())
	return receipt.Offset
}

// Serve runs a stand-in until the end of the spec.
func Serve(handler http.Handler) *fakes.Server {
	server, err := fakes.StartServer(Loopback, handler)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Kill)
	return server
}
