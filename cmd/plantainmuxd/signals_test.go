package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/plantainmux/plantainmux/internal/fakes"
)

const (
	streamEvents = 60    // of 30 ms each
	firstPort    = 30100 // below the ports that the system gives to clients
)

var lastPort atomic.Int32

// daemonProcess is a daemon as a process of its own, before a stand-in of the platform.
type daemonProcess struct {
	settings string // path
	callers  string // address
	session  *gexec.Session
}

// startDaemonProcess starts a daemon and waits until it serves a stream.
func startDaemonProcess(binary string) *daemonProcess {
	wire, err := fakes.StartWirePlatform([]string{"n"}, 4)
	Expect(err).NotTo(HaveOccurred())
	store, err := fakes.StartServer("127.0.0.1:0", wire)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(store.Kill)
	d := &daemonProcess{settings: filepath.Join(GinkgoT().TempDir(), "n-1.yaml"), callers: unusedAddress()}
	d.writeSettings(fmt.Sprintf(`node: n-1
data_centre: n
store: %s
first: true
listen: {callers: "%s", readiness: "%s", host: 127.0.0.1, first_port: %d, last_port: %d}
limits: {memory_mb: 256, cpu_share: 1}
bounds: {grace_s: 6, stability_window_ms: 3000, configuration_ms: 2000, retry_share: 0.2, retry_slack: 100, retry_window_s: 10}
`, store.Address(), d.callers, unusedAddress(), portOf(unusedAddress()), portOf(unusedAddress())))
	d.start(binary)
	Eventually(func() error { return d.stream("first") }, "15s", "100ms").Should(Succeed())
	wire.SetLastEvent(streamEvents)
	return d
}

func (d *daemonProcess) start(binary string) {
	var err error
	d.session, err = gexec.Start(exec.Command(binary, "--platform", "--settings", d.settings), GinkgoWriter, GinkgoWriter)
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

// unusedAddress returns an address of loopback. No port is returned twice.
func unusedAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort.Add(1))
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
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

var _ = Describe("The process of a daemon", Ordered, ContinueOnFailure, func() {
	var binary string

	BeforeAll(func() {
		var err error
		binary, err = gexec.Build("github.com/plantainmux/plantainmux/cmd/plantainmuxd")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(gexec.CleanupBuildArtifacts)
	})

	// Guards against signals that end the process with the requests that it answers.
	DescribeTable("answers the requests in progress when, after SIGTERM, it gets", func(signals ...syscall.Signal) {
		d := startDaemonProcess(binary)
		answered := make(chan error, 1)
		go func() { answered <- d.stream("in-progress") }()
		time.Sleep(300 * time.Millisecond)
		Expect(d.session.Command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		for _, signal := range signals {
			time.Sleep(100 * time.Millisecond)
			Expect(d.session.Command.Process.Signal(signal)).To(Succeed())
		}
		Eventually(answered, "5s").Should(Receive(BeNil()))
		Eventually(d.session, "7s").Should(gexec.Exit(0))
	},
		Entry("SIGHUP", syscall.SIGHUP),
		Entry("SIGHUP twice", syscall.SIGHUP, syscall.SIGHUP),
		Entry("SIGTERM again and SIGHUP", syscall.SIGTERM, syscall.SIGHUP),
		Entry("SIGINT", syscall.SIGINT),
		Entry("SIGPIPE", syscall.SIGPIPE),
	)

	It("keeps its settings when it gets SIGHUP while the file is missing, half written or wrong", func() {
		d := startDaemonProcess(binary)
		text, err := os.ReadFile(d.settings)
		Expect(err).NotTo(HaveOccurred())
		hangUp := func(line string) {
			Expect(d.session.Command.Process.Signal(syscall.SIGHUP)).To(Succeed())
			Eventually(d.session.Out, "3s").Should(gbytes.Say(line))
		}
		Expect(os.Remove(d.settings)).To(Succeed())
		hangUp("keeping the previous settings")
		for _, faulty := range []string{"", string(text[:len(text)/2]), "node: [", strings.Replace(string(text), "256", "many", 1)} {
			d.writeSettings(faulty)
			hangUp("keeping the previous settings")
		}
		d.writeSettings(string(text))
		hangUp("settings reloaded")
		Expect(d.stream("afterwards")).To(Succeed())
	})

	It("does not end when it gets SIGHUP while it starts", func() {
		d := &daemonProcess{settings: filepath.Join(GinkgoT().TempDir(), "settings")}
		Expect(syscall.Mkfifo(d.settings, 0o600)).To(Succeed()) // the daemon waits for its settings
		d.start(binary)
		time.Sleep(500 * time.Millisecond)
		Expect(d.session.Command.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Consistently(d.session, "500ms").ShouldNot(gexec.Exit())
		d.writeSettings("node: [")
		Eventually(d.session, "3s").Should(gexec.Exit(exitSettings))
	})
})
