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
	benchTokens = 300
	benchPace   = 10 * time.Millisecond
	// The load that one daemon must carry within one core and benchMemory.
	targetRequests = 100.0    // a second
	targetTokens   = 30_000.0 // a second
	benchMemory    = 128 << 20
)

// bench compares the request path with its engine.
type bench struct {
	*rig
	made sync.Map // time at which each frame was generated, by its text
	next atomic.Int64
}

func newBench(b *testing.B) *bench {
	t := &bench{}
	t.rig = newRig(b, fakes.EngineOptions{VM: "vm", TokenDelay: benchPace, OnFrame: func(f endpoint.Frame) {
		t.made.Store(f.Text, time.Now())
	}})
	return t
}

// sample is what one run showed.
type sample struct {
	first, each []time.Duration // request to first token; generated to received
	cpu         time.Duration
	mallocs     uint64
	bytes       uint64
	heap        uint64
}

func (t *bench) run(b *testing.B, direct bool) sample {
	var s sample
	var mu sync.Mutex
	var all sync.WaitGroup
	var before, after, middle runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	for i := range rigRequests {
		all.Go(func() {
			time.Sleep(time.Duration(i) * benchPace / rigRequests)
			first, each := t.stream(b, direct)
			mu.Lock()
			defer mu.Unlock()
			s.first = append(s.first, first)
			s.each = append(s.each, each...)
		})
	}
	time.Sleep(benchPace * benchTokens / 2)
	runtime.ReadMemStats(&middle)
	all.Wait()
	s.cpu = processorTime() - cpu
	runtime.ReadMemStats(&after)
	s.mallocs, s.bytes, s.heap = after.Mallocs-before.Mallocs, after.TotalAlloc-before.TotalAlloc, middle.HeapInuse+middle.StackInuse
	return s
}

func (t *bench) stream(b *testing.B, direct bool) (time.Duration, []time.Duration) {
	number := t.next.Add(1)
	body := fmt.Sprintf(`{"model":"%s","prompt":"bench %d","max_tokens":%d,"stream":true}`, rigModel, number, benchTokens)
	request := t.request(b, direct, number, body)
	started := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Error("no stream", err, response)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	var first time.Duration
	each := make([]time.Duration, 0, benchTokens)
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		now := time.Now()
		if first == 0 {
			first = now.Sub(started)
		}
		if made, ok := t.made.LoadAndDelete(tokenOf(scanner.Bytes())); ok {
			each = append(each, now.Sub(made.(time.Time)))
		}
	}
	if len(each) != benchTokens {
		b.Errorf("%d tokens came", len(each))
	}
	return first, each
}

func (t *bench) request(b *testing.B, direct bool, number int64, body string) *http.Request {
	url := "http://" + t.caller.Address() + "/v1/completions"
	if direct {
		url = "http://" + t.direct.Address() + endpoint.PathGenerate
		data, err := json.Marshal(endpoint.GenerateRequest{Attempt: fmt.Sprint("direct-", number), Group: 1, Model: rigModel, Body: json.RawMessage(body)})
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

// tokenOf returns the text of an event, whichever form it has.
func tokenOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte(`"text":"`))
	if !ok {
		return ""
	}
	text, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(text)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequestPath compares streams through the request path with streams
// straight from the engine stand-in, in one run. What the path adds must stay
// within one core at the load that a daemon is to carry.
func BenchmarkRequestPath(b *testing.B) {
	t := newBench(b)
	t.run(b, true)
	t.run(b, false)
	for b.Loop() {
		direct, through := t.run(b, true), t.run(b, false)
		report(b, direct, through)
	}
}

func report(b *testing.B, direct, through sample) {
	for _, percent := range []int{50, 95, 99} {
		b.ReportMetric(float64(added(direct.first, through.first, percent).Microseconds()), fmt.Sprintf("first-p%d-µs", percent))
		b.ReportMetric(float64(added(direct.each, through.each, percent).Microseconds()), fmt.Sprintf("token-p%d-µs", percent))
	}
	cpu := through.cpu - direct.cpu
	perRequest := cpu.Seconds() / rigRequests
	b.ReportMetric(float64(cpu.Microseconds())/rigRequests/benchTokens, "cpu-µs/token")
	b.ReportMetric(1/perRequest, "requests/core-s")
	b.ReportMetric(benchTokens/perRequest, "tokens/core-s")
	b.ReportMetric(float64(through.mallocs-direct.mallocs)/rigRequests, "allocs/request")
	b.ReportMetric(float64(through.bytes-direct.bytes)/rigRequests, "bytes/request")
	b.ReportMetric(float64(through.heap)/(1<<20), "heap-MB")
	if through.heap > benchMemory {
		b.Errorf("heap of daemon, stand-in and callers: %d bytes", through.heap)
	}
	if cores := perRequest * max(targetRequests, targetTokens/benchTokens); cores > 1 {
		b.Errorf("%.2f cores at %.0f requests/s of %d tokens", cores, targetRequests, benchTokens)
	}
}

func added(direct, through []time.Duration, percent int) time.Duration {
	return quantile(through, percent) - quantile(direct, percent)
}

func quantile(samples []time.Duration, percent int) time.Duration {
	slices.Sort(samples)
	return samples[(len(samples)-1)*percent/100]
}
