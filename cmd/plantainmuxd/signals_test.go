package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
)

const streamEvents = 60 // of 30 ms each

var _ = Describe("The process of a daemon", func() {
	// Guards against signals that end the process with the requests that it answers.
	DescribeTable("answers the requests in progress when, after SIGTERM, it gets", func(signals ...syscall.Signal) {
		d := startDaemonProcess()
		d.wire.SetLastEvent(streamEvents)
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
		d := startDaemonProcess()
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
		d.start(exec.Command(binary, "--platform", "--settings", d.settings))
		time.Sleep(500 * time.Millisecond)
		Expect(d.session.Command.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Consistently(d.session, "500ms").ShouldNot(gexec.Exit())
		d.writeSettings("node: [")
		Eventually(d.session, "3s").Should(gexec.Exit(exitSettings))
	})
})
