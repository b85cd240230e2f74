package callerapi_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
)

const (
	benchTokens        = 300
	benchTokenInterval = 10 * time.Millisecond
	// The load that one daemon must sustain with one core and benchMaxHeapBytes.
	targetRequests    = 100.0    // requests a second
	targetTokens      = 30_000.0 // tokens a second
	benchMaxHeapBytes = 128 << 20
)

// bench sends requests through the request path or directly to the engine.
type bench struct {
	*rig
	generatedAt sync.Map // generation time of each frame, by its text
	next        atomic.Int64
}

func newBench(b *testing.B) *bench {
	t := &bench{}
	t.rig = newRig(b, fakes.EngineOptions{VM: "vm", TokenDelay: benchTokenInterval, OnFrame: func(f endpoint.Frame) {
		t.generatedAt.Store(f.Text, time.Now())
	}})
	return t
}

// sample holds the measurements of one run.
type sample struct {
	firstToken, tokenLatencies []time.Duration // time to first token of each request; latency of each token from generation to receipt
	cpu                        time.Duration
	mallocs                    uint64
	bytes                      uint64
	heap                       uint64
}

func (t *bench) run(b *testing.B, direct bool) sample {
	var s sample
	var mu sync.Mutex
	var all sync.WaitGroup
	var before, after, middle runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	for i := range rigRequests {
		all.Go(func() {
			time.Sleep(time.Duration(i) * benchTokenInterval / rigRequests)
			first, tokenLatencies := t.stream(b, direct)
			mu.Lock()
			defer mu.Unlock()
			s.firstToken = append(s.firstToken, first)
			s.tokenLatencies = append(s.tokenLatencies, tokenLatencies...)
		})
	}
	time.Sleep(benchTokenInterval * benchTokens / 2)
	runtime.ReadMemStats(&middle)
	all.Wait()
	s.cpu = cpuTime() - cpu
	runtime.ReadMemStats(&after)
	s.mallocs, s.bytes, s.heap = after.Mallocs-before.Mallocs, after.TotalAlloc-before.TotalAlloc, middle.HeapInuse+middle.StackInuse
	return s
}

func (t *bench) stream(b *testing.B, direct bool) (time.Duration, []time.Duration) {
	sequence := t.next.Add(1)
	body := fmt.Sprintf(`{"model":"%s","prompt":"bench %d","max_tokens":%d,"stream":true}`, rigModel, sequence, benchTokens)
	request := t.request(b, direct, sequence, body)
	started := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Error("cannot start stream:", err, response)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	var first time.Duration
	tokenLatencies := make([]time.Duration, 0, benchTokens)
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		now := time.Now()
		if first == 0 {
			first = now.Sub(started)
		}
		if generated, ok := t.generatedAt.LoadAndDelete(tokenOf(scanner.Bytes())); ok {
			tokenLatencies = append(tokenLatencies, now.Sub(generated.(time.Time)))
		}
	}
	if len(tokenLatencies) != benchTokens {
		b.Errorf("received %d tokens", len(tokenLatencies))
	}
	return first, tokenLatencies
}

func (t *bench) request(b *testing.B, direct bool, sequence int64, body string) *http.Request {
	url := "http://" + t.caller.Address() + "/v1/completions"
	if direct {
		url = "http://" + t.direct.Address() + endpoint.PathGenerate
		data, err := json.Marshal(endpoint.GenerateRequest{Attempt: fmt.Sprint("direct-", sequence), Group: 1, Model: rigModel, Body: json.RawMessage(body)})
		if err != nil {
			b.Fatal(err)
		}
		body = string(data)
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer key")
	return request
}

// tokenOf returns the text of an event of either the caller's or the engine's format.
func tokenOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte(`"text":"`))
	if !ok {
		return ""
	}
	text, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(text)
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequestPath measures the cost that the request path adds to streams read
// directly from the fake engine, with both in one run. The added CPU time must stay
// within one core at targetRequests and targetTokens.
func BenchmarkRequestPath(b *testing.B) {
	t := newBench(b)
	t.run(b, true)
	t.run(b, false)
	for b.Loop() {
		direct, proxied := t.run(b, true), t.run(b, false)
		report(b, direct, proxied)
	}
}

func report(b *testing.B, direct, proxied sample) {
	for _, percent := range []int{50, 95, 99} {
		b.ReportMetric(float64(overhead(direct.firstToken, proxied.firstToken, percent).Microseconds()), fmt.Sprintf("first-p%d-µs", percent))
		b.ReportMetric(float64(overhead(direct.tokenLatencies, proxied.tokenLatencies, percent).Microseconds()), fmt.Sprintf("token-p%d-µs", percent))
	}
	cpu := proxied.cpu - direct.cpu
	perRequest := cpu.Seconds() / rigRequests
	b.ReportMetric(float64(cpu.Microseconds())/rigRequests/benchTokens, "cpu-µs/token")
	b.ReportMetric(1/perRequest, "requests/core-s")
	b.ReportMetric(benchTokens/perRequest, "tokens/core-s")
	b.ReportMetric(float64(proxied.mallocs-direct.mallocs)/rigRequests, "allocs/request")
	b.ReportMetric(float64(proxied.bytes-direct.bytes)/rigRequests, "bytes/request")
	b.ReportMetric(float64(proxied.heap)/(1<<20), "heap-MB")
	if proxied.heap > benchMaxHeapBytes {
		b.Errorf("heap of daemon, fake engine and callers exceeds the limit: %d bytes", proxied.heap)
	}
	if cores := perRequest * max(targetRequests, targetTokens/benchTokens); cores > 1 {
		b.Errorf("%.2f cores at %.0f requests/s of %d tokens", cores, targetRequests, benchTokens)
	}
}

func overhead(direct, proxied []time.Duration, percent int) time.Duration {
	return quantile(proxied, percent) - quantile(direct, percent)
}

func quantile(samples []time.Duration, percent int) time.Duration {
	slices.Sort(samples)
	return samples[(len(samples)-1)*percent/100]
}
