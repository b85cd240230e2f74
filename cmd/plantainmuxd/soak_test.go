package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// soakSeeds returns the seeds to run: two, or those from 1 to SOAK_SEEDS.
func soakSeeds() []uint64 {
	count, err := strconv.Atoi(os.Getenv("SOAK_SEEDS"))
	if err != nil {
		count = 2
	}
	seeds := make([]uint64, count)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	return seeds
}

var _ = Describe("Daemons under signals, short of descriptors, with callers that are slow, silent and sound", func() {
	for _, seed := range soakSeeds() {
		// Guards against requests that are lost, run twice, refused although they ran, or answered with another's answer.
		It(fmt.Sprintf("answer each request that they pass on, and stay up, seed %d", seed), func() {
			s := newSoak(seed)
			s.daemons[0].wire.SetLastEvent(streamLength)
			s.daemons[0].wire.SetWorkTime(40 * time.Millisecond)
			for i := range 6 {
				s.orders(fmt.Sprintf("order%d", i))
			}
			for i := range 4 {
				s.streams(fmt.Sprintf("stream%d", i))
			}
			for i := range 3 {
				s.strays(fmt.Sprintf("stray%d", i))
			}
			s.disturb()
			for _, d := range s.daemons { // while the strays are still there
				Expect(d.session).NotTo(gexec.Exit(), "seed %d", seed)
				Eventually(d.isReady, "10s").Should(BeTrue(), "seed %d", seed)
				Expect(d.answer("after-"+d.callers)).To(Equal("HTTP/1.1 200"), "seed %d", seed)
			}
			s.finish()
			s.check()
		})
	}
})

// check compares what the callers got with what the endpoints have run.
func (s *soak) check() {
	recorder := httptest.NewRecorder()
	s.daemons[0].wire.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/fake/runs", nil))
	runs := map[string]int{}
	for line := range strings.Lines(recorder.Body.String()) {
		fields := strings.Fields(line)
		runs[fields[1]], _ = strconv.Atoi(fields[2])
	}
	counts := map[string]int{}
	for _, o := range s.results {
		at := fmt.Sprintf("seed %d, %s: %+v, ran %d times", s.seed, o.id, o, runs[o.id])
		counts[fmt.Sprint(o.kind, " ", o.status)]++
		if o.kind == "order" {
			Expect(runs[o.id]).To(BeNumerically("<=", 1), at)
		}
		switch {
		case o.status == 0 && o.kind == "order":
			Expect(runs[o.id]).To(BeZero(), "passed on and not answered: "+at)
		case o.status == 0: // a connection that the daemon closed before it had read the request
		case o.status == http.StatusServiceUnavailable && o.kind == "order":
			Expect(runs[o.id]).To(BeZero(), "refused as not run: "+at)
		default:
			Expect(o.err).NotTo(HaveOccurred(), at)
		}
	}
	GinkgoWriter.Println("soak, seed", s.seed, counts, "connections without a request or unread:", len(s.open))
	Expect(counts["order 200"]).To(BeNumerically(">", 50), "seed %d: %v", s.seed, counts)
	Expect(counts["stream 200"]).To(BeNumerically(">", 5), "seed %d: %v", s.seed, counts)
}
