package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/plantainmux/plantainmux/internal/fakes"
)

// Ports below those that the system gives to clients. Test processes at the same time begin at different ones.
const (
	firstPort = 30100
	ports     = 2000
)

var (
	binary   string // of the daemon
	lastPort atomic.Int32
	claims   []net.Listener // on the ports of this process, until it ends
)

var startPort = rand.Int32N(ports)

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("github.com/plantainmux/plantainmux/cmd/plantainmuxd")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// daemonProcess is a daemon as a process of its own, before a stand-in of the platform.
type daemonProcess struct {
	wire     *fakes.WirePlatform
	store    *fakes.Server
	settings string // path
	callers  string // address
	ready    string // address
	peers    string // address
	session  *gexec.Session
}

// startDaemonProcess starts a daemon and waits until it serves a stream.
func startDaemonProcess() *daemonProcess {
	d := newDaemonProcess()
	d.startAndAwait()
	return d
}

// startAndAwait starts the daemon and waits until it serves a stream.
func (d *daemonProcess) startAndAwait() {
	d.start(exec.Command(binary, "--platform", "--settings", d.settings))
	d.awaitService()
}

// newDaemonProcess returns a daemon that has not been started, with its settings.
func newDaemonProcess() *daemonProcess { return newDaemonProcesses(1)[0] }

// newDaemonProcesses returns daemons before one platform, as newDaemonProcess does one.
func newDaemonProcesses(count int) []*daemonProcess {
	wire, err := fakes.StartWirePlatform([]string{"n"}, 4)
	Expect(err).NotTo(HaveOccurred())
	store, err := fakes.StartServer("127.0.0.1:0", wire)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(store.Kill)
	daemons := make([]*daemonProcess, count)
	for i := range daemons {
		daemons[i] = newDaemonBefore(wire, store, fmt.Sprintf("n-%d", i+1))
	}
	return daemons
}

func newDaemonBefore(wire *fakes.WirePlatform, store *fakes.Server, name string) *daemonProcess {
	d := &daemonProcess{settings: filepath.Join(GinkgoT().TempDir(), name+".yaml"), callers: unusedAddress(), ready: unusedAddress(), wire: wire, store: store}
	d.peers = unusedAddress()
	port := portOf(d.peers)
	d.writeSettings(fmt.Sprintf(`node: %s
data_centre: n
store: %s
first: true
listen: {callers: "%s", readiness: "%s", host: 127.0.0.1, first_port: %d, last_port: %d}
limits: {memory_mb: 256, cpu_share: 1}
bounds: {grace_s: 6, stability_window_ms: 3000, configuration_ms: 2000, retry_share: 0.2, retry_slack: 100, retry_window_s: 10}
`, name, store.Address(), d.callers, d.ready, port, port))
	return d
}

func (d *daemonProcess) awaitService() {
	Eventually(func() error { return d.stream("first") }, "15s", "100ms").Should(Succeed())
}

func (d *daemonProcess) start(command *exec.Cmd) {
	var err error
	d.session, err = gexec.Start(command, GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { d.session.Kill().Wait("5s") })
}

func (d *daemonProcess) writeSettings(text string) {
	Expect(os.WriteFile(d.settings, []byte(text), 0o600)).To(Succeed())
}

// stream asks for a stream, and fails unless its answer is complete.
func (d *daemonProcess) stream(id string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/talk/x", strings.NewReader(id))
	if err != nil {
		return err
	}
	request.Host = "x.example"
	request.Header = http.Header{"Request-Id": {id}, "Deadline-Ms": {"4000"}, "Model": {"big"}, "Authorization": {"Bearer k1"}}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.ReadAll(answer.Body); err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return nil
}

// unusedAddress returns an address of loopback. No port is returned twice, nor to another test process at the same
// time: each keeps its ports at a second address of loopback.
func unusedAddress() string {
	for {
		port := firstPort + (startPort+lastPort.Add(1))%ports
		claim, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.2:%d", port))
		if err != nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			_ = claim.Close()
			continue
		}
		claims = append(claims, claim)
		Expect(listener.Close()).To(Succeed())
		return address
	}
}

func portOf(address string) int {
	_, port, err := net.SplitHostPort(address)
	Expect(err).NotTo(HaveOccurred())
	number, err := strconv.Atoi(port)
	Expect(err).NotTo(HaveOccurred())
	return number
}
