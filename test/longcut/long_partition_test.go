package longcut

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerapi"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/invariant"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// north and south form one region, east the other.
const (
	north = fleet.DataCentre("north")
	south = fleet.DataCentre("south")
	east  = fleet.DataCentre("east")
)

const (
	cutDuration         = 125 * time.Second
	changeBound         = 6 * time.Second // until a configuration change is in force at every daemon
	reportBound         = 3 * time.Second // long enough that no member misses it on a busy machine
	heartbeat           = time.Second     // long enough that no peer link times out on a busy machine
	detectionBound      = 5 * time.Second // above reportBound
	leavingBound        = 3 * time.Second
	eventuallyTimeout   = 30 * time.Second
	pollInterval        = 50 * time.Millisecond
	requestInterval     = 250 * time.Millisecond
	orderInterval       = time.Second
	orderTimeout        = 10 * time.Second // above the timeout of a service call
	secondKey           = "key-of-the-change"
	tokens              = 3
	groupsPerDataCentre = 2
)

// bed is a test bed of three data centres with a service that accepts orders in
// each region.
type bed struct {
	*testbed.Bed
	config              config.Configuration
	version             infra.Offset
	services            []*fakes.Service
	daemonsByDataCentre map[fleet.DataCentre][]*testbed.Daemon
}

func newBed() *bed {
	b := &bed{Bed: testbed.New(), config: testbed.SampleConfig(groupsPerDataCentre, north, south, east), daemonsByDataCentre: map[fleet.DataCentre][]*testbed.Daemon{}}
	orders := config.Service{Name: "orders", KeyLifetime: 3600, Calls: []config.Call{{Method: http.MethodPost, Path: "/orders", TimeoutSeconds: 8}}}
	for _, dataCentre := range []fleet.DataCentre{north, east} {
		service := fakes.NewService(false)
		b.services = append(b.services, service)
		orders.Endpoints = append(orders.Endpoints, config.ServiceEndpoint{Address: testbed.Serve(service.Handler()).Address(), DataCentre: dataCentre})
	}
	b.config.Services = []config.Service{orders}
	options := fakes.EngineOptions{ChecksFencing: true, LoadTime: 100 * time.Millisecond, TokenDelay: time.Millisecond}
	for _, dataCentre := range []fleet.DataCentre{north, south, east} {
		b.AddEngines(dataCentre, fleet.FabricDomain(dataCentre), 2*groupsPerDataCentre+1, options)
	}
	for _, d := range b.StartDaemons(withLongTimeouts, north, north, south, south, east, east) {
		b.daemonsByDataCentre[d.DataCentre] = append(b.daemonsByDataCentre[d.DataCentre], d)
	}
	b.version = b.Publish(0, b.config)
	for _, d := range b.Daemons {
		eventuallyComplete(d, groupsPerDataCentre)
		Eventually(func() int { status, _ := d.Status(); return len(status.DataCentres) }, eventuallyTimeout, pollInterval).Should(Equal(2))
		Eventually(func() refusal.Outcome { return placeOrder(d, "warm-up") }, eventuallyTimeout, pollInterval).Should(Equal(refusal.Done))
	}
	return b
}

// setCut cuts east off from the other region and from the platform, or reconnects
// it.
func (b *bed) setCut(cut bool) {
	setPeers, setPlatform := b.MendDataCentres, (*testbed.Latch).Mend
	if cut {
		setPeers, setPlatform = b.CutDataCentres, (*testbed.Latch).Cut
	}
	setPeers(north, east)
	setPeers(south, east)
	for _, d := range b.daemonsByDataCentre[east] {
		setPlatform(d.Latch, testbed.SideLog)
		setPlatform(d.Latch, testbed.SideVMs)
	}
}

func withLongTimeouts(s *settings.Settings) {
	s.Timing.ReportBoundMS = int(reportBound.Milliseconds())
	s.Timing.PeerHeartbeatMS = int(heartbeat.Milliseconds())
}

func (b *bed) runs(key string) int {
	total := 0
	for _, service := range b.services {
		total += service.RunsOf(key)
	}
	return total
}

func eventuallyComplete(d *testbed.Daemon, count int) []fleet.Group {
	var groups []fleet.Group
	EventuallyWithOffset(1, func() []fleet.Group {
		groups = d.CompleteGroups(testbed.SampleModel)
		return groups
	}, eventuallyTimeout, pollInterval).Should(HaveLen(count))
	return groups
}

// sendCompletion sends a request and returns a description of what was wrong with
// its answer, empty if it was complete.
func sendCompletion(d *testbed.Daemon, key, prompt string) string {
	body := fmt.Sprintf(`{"model":"%s","prompt":"%s","max_tokens":%d}`, testbed.SampleModel, prompt, tokens)
	code, _, text := post(d, "/v1/completions", key, body, nil)
	if code != http.StatusOK || !strings.Contains(text, fakes.Answer([]byte(body), tokens)) {
		return fmt.Sprintf("%s in %s: %d %s", prompt, d.DataCentre, code, text)
	}
	return ""
}

func placeOrder(d *testbed.Daemon, key string) refusal.Outcome {
	_, outcome, _ := post(d, "/v1/services/orders/orders", testbed.TeamKey, `{"swatch":"`+key+`"}`, http.Header{"Idempotency-Key": {key}})
	return outcome
}

func (b *bed) expectNoViolation() {
	for dataCentre := range b.daemonsByDataCentre {
		check := invariant.Check{
			Ledger:         invariant.NewLedger(b.Log.Records(group.StreamName(dataCentre))),
			DetectionBound: detectionBound,
			LeavingBound:   leavingBound,
		}
		for id, engine := range b.Engines {
			if strings.HasPrefix(string(id), string(dataCentre)) {
				check.Events = append(check.Events, engine.Events()...)
			}
		}
		Expect(check.Run()).To(BeEmpty())
	}
}

var _ = Describe("A region that is partitioned from the other one and from the log for minutes", func() {
	It("serves from its complete groups, refuses orders as not run, and catches up within seconds of the reconnection", func() {
		b := newBed()
		checks := newBackgroundChecks()
		for _, d := range b.Daemons {
			checks.every(requestInterval, viewStaysValid(d))
		}
		for _, daemons := range b.daemonsByDataCentre {
			checks.every(requestInterval, func(round int) string {
				return sendCompletion(daemons[round%len(daemons)], testbed.TeamKey, fmt.Sprintf("sample %d", round))
			})
		}
		b.setCut(true)
		cutAt := time.Now()
		orders := newBackgroundChecks()
		refused, slowest := 0, time.Duration(0)
		orders.every(orderInterval, func(round int) string {
			daemons, began := b.daemonsByDataCentre[east], time.Now()
			defer func() { slowest = max(slowest, time.Since(began)) }()
			if outcome := placeOrder(daemons[round%len(daemons)], fmt.Sprintf("cut-%d", round)); outcome != refusal.NotRun {
				return fmt.Sprintf("order %d in the partitioned region: outcome %q", round, outcome)
			}
			refused++
			return ""
		})

		changed := b.config
		second := changed.Teams[0]
		second.Name, second.KeyHashes = "second", []string{callerapi.HashKey(secondKey)}
		changed.Teams = append(changed.Teams[:1:1], second)
		version := b.Publish(b.version, changed)
		for _, dataCentre := range []fleet.DataCentre{north, east} {
			groups := eventuallyComplete(b.daemonsByDataCentre[dataCentre][0], groupsPerDataCentre)
			b.Engines[groups[0].Members[1]].Kill()
		}
		for _, d := range b.daemonsByDataCentre[east] {
			eventuallyComplete(d, groupsPerDataCentre-1)
		}
		Eventually(func() refusal.Outcome { return placeOrder(b.daemonsByDataCentre[north][0], "beside the cut") }, eventuallyTimeout, pollInterval).Should(Equal(refusal.Done))
		time.Sleep(time.Until(cutAt.Add(cutDuration)))
		for _, d := range b.Daemons {
			status, err := d.Status()
			Expect(err).NotTo(HaveOccurred())
			wantVersion, wantGroups := version, groupsPerDataCentre
			if d.DataCentre == east {
				wantVersion, wantGroups = b.version, groupsPerDataCentre-1
			}
			Expect(status.ConfigVersion).To(Equal(wantVersion))
			Expect(d.CompleteGroups(testbed.SampleModel)).To(HaveLen(wantGroups))
		}
		_, failures := orders.stop()
		Expect(failures).To(BeEmpty())
		Expect(refused).To(BeNumerically(">", int(cutDuration/(orderInterval+orderTimeout))))

		b.setCut(false)
		reconnectedAt := time.Now()
		for _, d := range b.Daemons {
			Eventually(func() infra.Offset { status, _ := d.Status(); return status.ConfigVersion }, time.Until(reconnectedAt.Add(changeBound)), pollInterval).Should(Equal(version))
			Expect(sendCompletion(d, secondKey, "of the second team")).To(BeEmpty())
		}
		GinkgoWriter.Printf("configuration in force at every daemon %s after the reconnection\n", time.Since(reconnectedAt))
		for _, d := range b.Daemons {
			eventuallyComplete(d, groupsPerDataCentre)
			Eventually(func() int { status, _ := d.Status(); return len(status.DataCentres) }, eventuallyTimeout, pollInterval).Should(Equal(2))
		}
		for i := range refused {
			key := fmt.Sprintf("cut-%d", i)
			Expect(b.runs(key)).To(BeZero())
			Eventually(func() refusal.Outcome { return placeOrder(b.daemonsByDataCentre[east][0], key) }, eventuallyTimeout, pollInterval).Should(Equal(refusal.Done))
			Expect(b.runs(key)).To(Equal(1))
		}
		count, failures := checks.stop()
		Expect(failures).To(BeEmpty())
		GinkgoWriter.Printf("%d background checks, %d orders refused, the slowest after %s\n", count, refused, slowest)
		b.expectNoViolation()
	})
})
