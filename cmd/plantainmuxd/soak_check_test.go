package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// promisesNotRun holds the statuses that promise that a request has not run and never will.
var promisesNotRun = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// The beginnings of the paths of orders whose routes come and go: of these 404 is a true answer.
const (
	comingAndGoing = "/lane/"
	safeToRepeat   = "/look/" // these may run more than once
)

// runs returns how many times each order has run, at all endpoints.
func (s *soak) runs() map[string]int {
	recorder := httptest.NewRecorder()
	s.daemons[0].wire.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/fake/runs", nil))
	runs := map[string]int{}
	for line := range strings.Lines(recorder.Body.String()) {
		fields := strings.Fields(line)
		number, err := strconv.Atoi(fields[2])
		Expect(err).NotTo(HaveOccurred())
		runs[fields[1]] += number
	}
	return runs
}

// killed reports whether the daemon of a request was killed while its connection was open.
func (s *soak) killed(o *soakOutcome) bool {
	return slices.ContainsFunc(s.kills[o.daemon], func(k soakKill) bool {
		return k.began.Before(o.ended) && o.dialled.Before(k.ended)
	})
}

// check compares what the callers got with what the endpoints have run. mayBreak tells that endpoints had faults
// that a stream may not survive.
func (s *soak) check(mayBreak bool) {
	runs := s.runs()
	counts := map[string]int{}
	var faults []string
	for _, o := range s.results {
		counts[fmt.Sprint(o.kind, " ", o.status, " ", o.ending)]++
		if fault := s.fault(o, runs[o.id], mayBreak); fault != "" {
			faults = append(faults, fmt.Sprintf("%s: %s%s at %s, ran %d times, status %d, %s, %v; dialled %s, sent %s, body after %s, ended %s",
				fault, o.path, o.id, o.daemon.callers, runs[o.id], o.status, o.ending, o.err, clock(o.dialled), clock(o.sent), o.pause, clock(o.ended)))
		}
	}
	GinkgoWriter.Println("soak, seed", s.seed, counts, "connections without a request or unread:", len(s.open))
	Expect(faults).To(BeEmpty(), "seed %d: %v", s.seed, counts)
	Expect(counts["order 200 answered"]).To(BeNumerically(">", 50), "seed %d: %v", s.seed, counts)
	Expect(counts["stream 200 answered"]).To(BeNumerically(">", 5), "seed %d: %v", s.seed, counts)
}

// fault returns what is wrong with an outcome, empty if nothing is.
func (s *soak) fault(o *soakOutcome, ran int, mayBreak bool) string {
	order := o.kind == "order"
	switch {
	case order && ran > 1 && !strings.HasPrefix(o.path, safeToRepeat):
		return "ran more than once"
	case order && ran > 0 && slices.Contains(promisesNotRun, o.status):
		return "refused as not run"
	case o.ending == wrong:
		return "answered wrongly"
	case o.ending == crossed && ran > 0:
		return "ran, although it was closed before it arrived"
	case o.ending == answered && o.status == http.StatusNotFound && (strings.HasPrefix(o.path, comingAndGoing) || strings.HasPrefix(o.path, safeToRepeat)):
		if ran > 0 {
			return "denied, although it ran"
		}
		return ""
	case o.ending == answered && o.status >= 400 && o.status < 500 && !slices.Contains(promisesNotRun, o.status):
		return "denied"
	case o.ending == answered, o.ending == crossed, s.killed(o):
		return ""
	case o.ending == broken && !order && mayBreak:
		return ""
	}
	return "arrived and not answered"
}

func clock(at time.Time) string { return at.Format("05.000") }
