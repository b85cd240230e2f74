package main

import (
	"os/exec"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
)

var _ = Describe("A daemon's process that stands still while it serves", func() {
	// Guards against a store, endpoints or other daemons that count as lost on waking.
	DescribeTable("believes of the others what it did before", func(period time.Duration) {
		daemons := newDaemonProcesses(2)
		for _, d := range daemons {
			d.start(exec.Command(binary, "--platform", "--settings", d.settings))
		}
		for _, d := range daemons {
			d.awaitService()
		}
		d := daemons[0]
		process := d.session.Command.Process
		before := len(d.session.Out.Contents())
		for range 2 {
			halt(process)
			time.Sleep(period)
			Expect(process.Signal(syscall.SIGCONT)).To(Succeed())
			Eventually(func() error { return d.stream("waking") }, "1s", "50ms").Should(Succeed())
			time.Sleep(500 * time.Millisecond)
		}
		Expect(d.session.Out).To(gbytes.Say("process stood still"))
		said := string(d.session.Out.Contents()[before:])
		for _, belief := range []string{"store unreachable", "links to the endpoints lost", "endpoint removed", "former group head does not answer", "link down"} {
			Expect(said).NotTo(ContainSubstring(belief))
		}
	},
		Entry("0.3 s", 300*time.Millisecond),
		Entry("2.5 s", 2500*time.Millisecond),
		Entry("6 s", 6*time.Second),
	)
})
