package main

import (
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

var _ = Describe("commands to daemons that use TLS", func() {
	It("require the CA certificate, and a token or a client certificate", func() {
		dir := GinkgoT().TempDir()
		authority := testbed.NewAuthority(dir)
		files := authority.Issue(dir)
		bed := testbed.New()
		daemon := bed.StartDaemon("north", func(s *settings.Settings) { s.TLS = files })
		bed.Publish(0, testbed.SampleConfig(0, "north"))

		caFlags := []string{"--authority", authority.File}
		token := append(caFlags, "--token", testbed.AdminToken)
		certificate := append(caFlags, "--certificate", files.Certificate, "--key", files.Key)
		for _, command := range [][]string{{"status"}, {"order", "list"}} {
			command = append(command, "--daemon", daemon.AdminAddress())
			tool := func(access ...string) int { return first(run(append(command, access...)...)) }
			Eventually(func() int { return tool(token...) }, 15*time.Second, 50*time.Millisecond).Should(BeZero())
			Expect(tool(certificate...)).To(BeZero())
			Expect(tool("--token", testbed.AdminToken)).NotTo(BeZero(), "plain HTTP")
			Expect(tool(caFlags...)).To(Equal(exitUsage), "neither a token nor a certificate")
			Expect(tool("--token", testbed.AdminToken, "--authority", filepath.Join(dir, "none.pem"))).To(Equal(exitUsage))
			Expect(tool("--token", testbed.AdminToken, "--authority", files.Key)).To(Equal(exitUsage))
			Expect(tool("--certificate", files.Certificate)).To(Equal(exitUsage), "no key")
		}
	})
})
