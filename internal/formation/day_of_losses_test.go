package formation_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/registry"
)

// dayOfLosses is the build farm while pairs of endpoints are lost for good, one fabric domain is down
// from 11 to 19 s, and two new endpoints come every 3 s from 13 s on, at the mean demand. A host keeps
// one staged model.
type dayOfLosses struct {
	*lossySite
	hosts  map[string]*host
	down   map[string]*registry.Endpoint // of the domain that is down, by ID
	added  int
	lacked map[string]float64 // sum over the rounds of the share of a model's demand that its serving groups lacked
	rounds float64
}

// host is what an endpoint has loaded, and what its host keeps.
type host struct {
	loaded, staged string // models
	joined         string // group for which the endpoint is ready
	loading        loading
}

// loading is a load until a time: to join a group or, without one, to stage a model.
type loading struct {
	model, group string
	until        time.Time
}

var (
	fromStore = map[string]time.Duration{"large": 16 * time.Second, "small": 12 * time.Second}
	fromHost  = map[string]time.Duration{"large": 1600 * time.Millisecond, "small": 1100 * time.Millisecond}
)

func newDayOfLosses(seed uint64) *dayOfLosses {
	d := &dayOfLosses{lossySite: lossy(seed, 3*time.Second, time.Hour), hosts: map[string]*host{}, lacked: map[string]float64{}}
	other := map[string]string{"large": "small", "small": "large"}
	for id, e := range d.endpoints {
		d.hosts[id] = &host{loaded: e.Model, staged: other[e.Model], joined: joined(e)}
	}
	d.advance()
	return d
}

func joined(e *registry.Endpoint) string {
	if e.Group.Group == "" {
		return ""
	}
	return fmt.Sprint(e.Group.Group, " ", e.Group.Epoch)
}

// advance lets loads take their time.
func (d *dayOfLosses) advance() {
	for id, e := range d.endpoints {
		h := d.hosts[id]
		if h == nil {
			h = &host{}
			d.hosts[id] = h
		}
		d.join(h, e)
		d.stage(h, e)
	}
}

func (d *dayOfLosses) join(h *host, e *registry.Endpoint) {
	group := joined(e)
	if group == "" || h.joined == group {
		return
	}
	if h.loading.group != group {
		took := fromStore[e.Model]
		switch e.Model {
		case h.loaded:
			took = 200 * time.Millisecond
		case h.staged:
			took = fromHost[e.Model]
		}
		h.loading = loading{model: e.Model, group: group, until: d.in.Now.Add(took)}
	}
	if d.in.Now.Before(h.loading.until) {
		e.Group.State = registry.Joining
		return
	}
	if h.loaded != e.Model {
		h.loaded, h.staged = e.Model, e.Model
	}
	h.joined, h.loading = group, loading{}
	e.Group.State = registry.Ready
}

func (d *dayOfLosses) stage(h *host, e *registry.Endpoint) {
	if h.loading.group == "" && h.loading.model != "" && !d.in.Now.Before(h.loading.until) {
		h.staged, h.loading = h.loading.model, loading{}
	}
	if len(e.Staged) == 1 && e.Staged[0] != h.staged && h.loading.model == "" {
		h.loading = loading{model: e.Staged[0], until: d.in.Now.Add(fromStore[e.Staged[0]])}
	}
	e.Staged = nil
	if h.staged != "" {
		e.Staged = []string{h.staged}
	}
}

// run simulates the day at the mean demand.
func (d *dayOfLosses) run(duration time.Duration) {
	nextLoss, nextNew := d.in.Now.Add(3*time.Second), d.in.Now.Add(13*time.Second)
	for end := d.in.Now.Add(duration); d.in.Now.Before(end); {
		at := d.in.Now.Sub(d.start)
		if at < 30*time.Second && !d.in.Now.Before(nextLoss) {
			nextLoss = nextLoss.Add(d.lossEvery)
			d.lose(2)
		}
		if !d.in.Now.Before(nextNew) && d.added < 12 {
			nextNew = nextNew.Add(3 * time.Second)
			d.addNew()
		}
		d.domainDown(at)
		d.demandSite.run(siteStep, steady(1), steady(1))
		d.advance()
		large, small := d.groups()
		d.rounds++
		d.lacked["large"] += max(0, 1-float64(large)*16.7/47.7)
		d.lacked["small"] += max(0, 1-float64(small)*35/315)
	}
}

func (d *dayOfLosses) addNew() {
	for range 2 {
		domain := fmt.Sprint("d", d.added/2%6)
		e := d.add(fmt.Sprintf("%s-new%d", domain, d.added))
		e.Domain, e.DataCentre, e.Slots, e.Staged = domain, "z"+string('0'+(domain[1]-'0')/2), 48, nil
		d.added++
	}
}

func (d *dayOfLosses) domainDown(at time.Duration) {
	switch {
	case at >= 11*time.Second && at < 19*time.Second && d.down == nil:
		d.down = map[string]*registry.Endpoint{}
		for id, e := range d.endpoints {
			if strings.HasPrefix(id, "d0") {
				d.down[id] = e
				delete(d.endpoints, id)
			}
		}
	case at >= 19*time.Second && len(d.down) > 0:
		for id, e := range d.down {
			e.Incarnation, e.Model, e.Group, e.FirstSeen = d.in.Now.UnixMilli(), "", registry.Membership{}, d.in.Now
			d.hosts[id] = &host{staged: d.hosts[id].staged}
			d.endpoints[id] = e
		}
		d.down = map[string]*registry.Endpoint{}
	}
}

// Survivors of a larger group formed smaller ones, and no group ever changed back: the larger model was
// left with one or two of its six groups.
var _ = Describe("The groups of the build farm on a day of losses", func() {
	It("carry 0.96 of the demand of each model on average", func() {
		const seeds = 8
		lacked := map[string]float64{}
		for seed := range uint64(seeds) {
			d := newDayOfLosses(seed)
			d.run(60 * time.Second)
			for model, sum := range d.lacked {
				lacked[model] += sum / d.rounds / seeds
			}
		}
		GinkgoWriter.Printf("lacked: %v\n", lacked)
		Expect(lacked["large"]).To(BeNumerically("<", 0.04))
		Expect(lacked["small"]).To(BeNumerically("<", 0.04))
	})
})
