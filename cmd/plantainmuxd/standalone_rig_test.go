package main

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const (
	drainNotice     = time.Second
	standaloneOrder = "POST /v1/services/orders/orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testbed.TeamKey + "\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\n{}"
)

// standaloneProcess is a daemon as a process of its own, with the project's own interfaces, before a service.
type standaloneProcess struct {
	callers string // address
	admin   string // address
	peer    string // address
	limits  string // line of the settings; empty: the defaults
	tls     settings.TLS
	service *fakes.Service
	session *gexec.Session
}

// startStandaloneProcess starts a daemon, with certificates if secured is set and with more services beside that of
// the orders, and waits until it answers orders.
func startStandaloneProcess(secured bool, more ...config.Service) *standaloneProcess {
	return startLimitedStandalone("", secured, more...)
}

// startLimitedStandalone does the same with limits in the daemon's settings.
func startLimitedStandalone(limits string, secured bool, more ...config.Service) *standaloneProcess {
	dir := GinkgoT().TempDir()
	d := &standaloneProcess{callers: unusedAddress(), admin: unusedAddress(), peer: unusedAddress(), limits: limits, service: fakes.NewService(false)}
	if secured {
		d.tls = testbed.NewAuthority(dir).Issue(dir)
	}
	bed := testbed.New()
	configuration := testbed.SampleConfig(0, "north")
	configuration.Services = append(more, config.Service{
		Name: "orders", KeyLifetime: 3600,
		Endpoints: []config.ServiceEndpoint{{Address: testbed.Serve(d.service.Handler()).Address(), DataCentre: "north"}},
		Calls:     []config.Call{{Method: http.MethodPost, Path: "/orders", TimeoutSeconds: 8}},
	})
	bed.Publish(0, configuration)
	path := filepath.Join(dir, "daemon.yaml")
	Expect(os.WriteFile(path, []byte(d.settings(bed.Platform())), 0o600)).To(Succeed())
	var err error
	d.session, err = gexec.Start(exec.Command(binary, "--settings", path), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { d.session.Kill().Wait("5s") })
	number := 0
	Eventually(func() any {
		conn, err := net.Dial("tcp", d.callers)
		if err != nil {
			return err
		}
		_ = conn.Close()
		number++
		return place(d.dialAll(1), standaloneOrder, fmt.Sprintf("first%d-", number))()[0]
	}, "20s", "100ms").Should(Equal(http.StatusOK))
	return d
}

func (d *standaloneProcess) settings(platform settings.Platform) string {
	text := fmt.Sprintf(`data_centre: north
listen: {caller: "%s", peer: "%s", admin: "%s"}
platform: {log: "%s", vms: "%s"}
peers: []
peer_secret: %s
admin_token: %s
timing: {drain_notice_ms: %d}
`, d.callers, d.peer, d.admin, platform.Log, platform.VMs, testbed.PeerSecret, testbed.AdminToken, drainNotice.Milliseconds())
	if d.limits != "" {
		text += d.limits + "\n"
	}
	if d.tls.Certificate != "" {
		text += fmt.Sprintf("tls: {certificate: %q, key: %q}\n", d.tls.Certificate, d.tls.Key)
	}
	return text
}

// dialAll opens connections of callers.
func (d *standaloneProcess) dialAll(count int) (conns []net.Conn) {
	for range count {
		conn, err := net.DialTimeout("tcp", d.callers, 2*time.Second)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		if d.tls.Certificate != "" {
			conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
		}
		conns = append(conns, conn)
	}
	return conns
}
