package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/adminapi"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const toolFile = `models:
  - {name: swatch-draft, version: v1, members: 2, requests: 16}
teams:
  - {name: merchants, share: SHARE, key_hashes: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]}
policy: {downtime_weight: 1}
`

// run runs the tool with command-line arguments and returns its exit code and
// standard output.
func run(args ...string) (int, string) {
	reader, writer, err := os.Pipe()
	Expect(err).NotTo(HaveOccurred())
	stdout := os.Stdout
	os.Stdout = writer
	global := &globalOptions{}
	code := 0
	if _, err := newParser(global).ParseArgs(args); err != nil {
		code = report(global, err)
	}
	os.Stdout = stdout
	_ = writer.Close()
	out, err := io.ReadAll(reader)
	Expect(err).NotTo(HaveOccurred())
	return code, string(out)
}

func fileWithShare(share string) string {
	path := filepath.Join(GinkgoT().TempDir(), config.FileName)
	Expect(os.WriteFile(path, []byte(strings.Replace(toolFile, "SHARE", share, 1)), 0o600)).To(Succeed())
	return path
}

var _ = Describe("plantainmux tool", func() {
	var log *fakes.Log
	var url string

	BeforeEach(func() {
		log = fakes.NewLog(fakes.DefaultAppendRate)
		url = testbed.Serve(log.Handler()).URL()
	})

	It("collects, publishes and compares a configuration, and publishing it again is a no-op", func() {
		code, out := run("collect", filepath.Dir(fileWithShare("1")))
		Expect(code).To(BeZero())
		Expect(out).To(ContainSubstring("name: swatch-draft"))
		Expect(first(run("validate", fileWithShare("0")))).To(Equal(exitInvalidConfig))
		Expect(first(run("publish", "--log", url, fileWithShare("0")))).To(Equal(exitInvalidConfig))
		Expect(log.Appends()).To(BeZero())

		Expect(first(run("publish", "--log", url, fileWithShare("1")))).To(BeZero())
		Expect(first(run("diff", "--log", url, fileWithShare("1")))).To(BeZero())
		code, out = run("diff", "--log", url, fileWithShare("2"))
		Expect(code).To(Equal(exitConfigsDiffer))
		Expect(out).To(Equal("version 1 is in force\n~ teams[merchants].share: 1 -> 2\n"))
		Expect(first(run("diff", "--from", fileWithShare("1"), fileWithShare("2")))).To(Equal(exitConfigsDiffer))
		Expect(first(run("publish", "--log", url, fileWithShare("1")))).To(BeZero())
		Expect(log.Appends()).To(Equal(1))
	})

	It("reports a conflict with the differences, and publishes nothing", func() {
		Expect(first(run("publish", "--log", url, fileWithShare("1")))).To(BeZero())
		code, out := run("publish", "--output", "json", "--log", url, fileWithShare("7"))
		Expect(code).To(Equal(exitConflict))
		var conflict failure
		Expect(json.Unmarshal([]byte(out), &conflict)).To(Succeed())
		Expect(conflict.InForce).To(BeEquivalentTo(1))
		Expect(conflict.Changes).To(Equal([]config.Change{{Field: "teams[merchants].share", Before: "1", After: "7"}}))
		Expect(log.Appends()).To(Equal(1))
	})

	It("accepts exactly one of several concurrent publications and reports the differences to the others", func() {
		type result struct {
			version uint64
			err     error
		}
		results := make(chan result)
		for share := range 6 {
			go func() {
				defer GinkgoRecover()
				configuration, err := config.Collect([]string{fileWithShare(strconv.Itoa(share + 1))})
				Expect(err).NotTo(HaveOccurred())
				version, err := publishOnce(url, configuration)
				results <- result{version: version, err: err}
			}()
		}
		accepted, conflicts := 0, 0
		for range 6 {
			r := <-results
			if r.err == nil {
				accepted++
				continue
			}
			Expect(exitCode(r.err)).To(Equal(exitConflict))
			Expect(r.err.Error()).To(ContainSubstring("~ teams[merchants].share"))
			conflicts++
		}
		Expect(accepted).To(Equal(1))
		Expect(conflicts).To(Equal(5))
	})

	It("reports that nothing was published if the log cannot be read", func() {
		log.Set(fakes.Faults{LoseAnswers: true})
		code, out := run("publish", "--timeout", "1", "--output", "json", "--log", url, fileWithShare("1"))
		Expect(code).To(Equal(exitLogUnavailable), out)
		Expect(log.Records(config.StreamName)).To(BeEmpty())
		log.Set(fakes.Faults{})
		Expect(first(run("publish", "--log", url, fileWithShare("1")))).To(BeZero())
	})

	It("shows the status of reachable daemons if another is unreachable", func() {
		daemon := testbed.Serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(adminapi.Status{Daemon: "one", DataCentre: "north", Ready: true, ConfigVersion: 4})
		}))
		unreachable := testbed.Serve(http.NotFoundHandler())
		unreachable.Kill()
		code, out := run("status", "--token", "t", "--daemon", unreachable.Address(), "--daemon", daemon.Address())
		Expect(code).To(Equal(exitDaemonsUnhealthy))
		Expect(out).To(ContainSubstring("! daemon at " + unreachable.Address() + " cannot be asked"))
		Expect(out).To(ContainSubstring("north: 1 daemon\n  daemon one at " + daemon.Address() + ": ready, configuration 4"))
		Expect(first(run("status", "--token", "t", "--daemon", daemon.Address()))).To(BeZero())
	})

	It("documents its exit codes, and prints the completion script and the reference", func() {
		_, manual := run("man")
		for _, code := range []int{exitFailure, exitUsage, exitInvalidConfig, exitConflict, exitOutcomeUnknown, exitLogUnavailable, exitConfigsDiffer, exitDaemonsUnhealthy, exitOrderNotFound, exitOrderNotUnclear} {
			Expect(manual).To(ContainSubstring("; " + strconv.Itoa(code) + " "))
		}
		Expect(second(run("completion"))).To(ContainSubstring("complete -F"))
		Expect(second(run("reference", "settings"))).To(ContainSubstring("timing.poll_ms"))
		Expect(first(run("publsh"))).To(Equal(exitUsage))
	})
})

func first(code int, _ string) int { return code }

func second(_ int, out string) string { return out }
