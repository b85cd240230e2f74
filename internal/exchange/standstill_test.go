package exchange_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// steadyBody is a stream with an event every 20 ms, whose reader takes 10 ms to read on after a standstill.
type steadyBody struct{ left, id int }

func (b *steadyBody) Read(into []byte) (int, error) {
	const interval, readingOn = 20 * time.Millisecond, 10 * time.Millisecond
	began := time.Now()
	time.Sleep(interval)
	if time.Since(began) > 10*interval {
		time.Sleep(readingOn)
	}
	if b.left--; b.left < 0 {
		return 0, io.EOF
	}
	b.id++
	return copy(into, event(b.id)), nil
}

func (b *steadyBody) Close() error { return nil }

var _ = Describe("A stream whose daemon stands still", func() {
	// Guards against endpoints that count as silent for a standstill of the daemon.
	It("is not sent elsewhere, and its endpoint is not suspected", func() {
		t := &transport{scripts: map[string][]script{}}
		var targets []*placement.Target
		for i, key := range []string{"a", "b"} {
			meter := targetstats.NewMeter()
			meter.SetRemoteInFlight(i)
			meter.SetMaxPass(20 * time.Millisecond)
			targets = append(targets, &placement.Target{Key: key, ID: key, Slots: 10, Group: key, Meter: meter})
			t.scripts[key] = []script{func(context.Context, exchange.Call) (*exchange.Answer, error) {
				return &exchange.Answer{Status: 200, Header: http.Header{}, Body: &steadyBody{left: 60}}, nil
			}}
		}
		var suspected []string
		view := &placement.View{Groups: map[string]map[string][]*placement.Target{"s": {"m": targets}}}
		x := exchange.New(exchange.Dependencies{
			View:      func() *placement.View { return view },
			Transport: t, Daemons: func() int { return 1 }, GossipDelay: func() time.Duration { return 0 }, Suspects: suspect.NewTable(suspect.Policy{}), OwnsTrial: func(suspect.Trait) bool { return true },
			FailedRequests: exchange.NewFailedRequests(), Metrics: exchange.NewMetrics(metrics.NewSet()), Logger: slog.New(slog.DiscardHandler), Retries: exchange.RetryBounds{Share: 0.2, Slack: 100, Window: 10 * time.Second}, BodyLimit: 100,
			ReportSuspect: func(target *placement.Target, _ string, _ bool) { suspected = append(suspected, target.Key) },
		})
		stop := exec.Command("sh", "-c", fmt.Sprintf("for i in 1 2; do sleep 0.2; kill -STOP %[1]d; sleep 0.6; kill -CONT %[1]d; done", os.Getpid()))
		Expect(stop.Start()).To(Succeed())
		now, out := time.Now(), &sink{}
		Expect(x.Run(context.Background(), &exchange.Request{
			ID: "r", Route: &catalog.Route{Name: "r", Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2}, Service: &catalog.Service{Name: "s", Models: []catalog.Model{{Name: "m", GroupSize: 1}}}, Model: "m",
			Arrived: now, Deadline: now.Add(9 * time.Second),
		}, out)).To(BeNil())
		Expect(stop.Wait()).To(Succeed())
		Expect(time.Since(now)).To(BeNumerically(">", 2*time.Second), "the process did not stand still")
		Expect(t.calls).To(Equal([]string{"a"}))
		Expect(suspected).To(BeEmpty())
	})
})
