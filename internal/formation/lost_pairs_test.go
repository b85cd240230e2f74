package formation_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/registry"
)

// lossySite loses pairs of endpoints of serving groups. What is lost returns after a while.
type lossySite struct {
	*demandSite
	random    *rand.Rand
	lossEvery time.Duration
	back      time.Duration        // after which a lost endpoint returns
	returning map[string]time.Time // by ID
	loading   map[string]time.Time // until when a member loads its model, by ID
	member    map[string]string    // group that an endpoint has joined, by ID
	up        map[string]float64   // sum of the serving groups over the rounds, by model
	rounds    float64
}

func (l *lossySite) run(duration time.Duration, large, small func(time.Duration) float64) {
	end := l.in.Now.Add(duration)
	nextLoss := l.in.Now.Add(l.lossEvery)
	for l.in.Now.Before(end) {
		if !l.in.Now.Before(nextLoss) {
			nextLoss = nextLoss.Add(l.lossEvery)
			l.lose(2)
		}
		for id, at := range l.returning {
			if !l.in.Now.Before(at) {
				delete(l.returning, id)
				e := l.add(id)
				e.Domain, e.Slots, e.Staged, e.Incarnation = id[:2], 48, []string{"large", "small"}, l.in.Now.UnixMilli()
			}
		}
		l.demandSite.run(siteStep, large, small)
		l.load()
		a, b := l.groups()
		l.up["large"] += float64(a)
		l.up["small"] += float64(b)
		l.rounds++
	}
}

// utilisation returns the groups that the demand needs by those that served on average.
func (l *lossySite) utilisation(model string, need float64) float64 {
	return need / (l.up[model] / l.rounds)
}

// lose removes endpoints of one serving group each.
func (l *lossySite) lose(count int) {
	var ids []string
	for _, name := range slices.Sorted(maps.Keys(l.in.Groups.Groups)) {
		record := l.in.Groups.Groups[name]
		head := l.endpoints[record.Head().ID]
		if record.Dissolving || head == nil || head.Group.State != registry.Open {
			continue
		}
		for _, m := range record.Members {
			ids = append(ids, m.ID)
		}
	}
	for range count {
		id := ids[l.random.IntN(len(ids))]
		if l.endpoints[id] != nil {
			delete(l.endpoints, id)
			l.returning[id] = l.in.Now.Add(l.back)
		}
	}
}

// load keeps a member that joined from being ready until its model is loaded from the host.
func (l *lossySite) load() {
	for id, e := range l.endpoints {
		e.Staged = []string{"large", "small"}
		key := fmt.Sprint(e.Group.Group, e.Group.Epoch, e.Incarnation)
		if l.member[id] != key {
			l.member[id] = key
			l.loading[id] = l.in.Now.Add(map[string]time.Duration{"large": 1600 * time.Millisecond, "small": 1100 * time.Millisecond}[e.Model])
		}
		if e.Group.State == registry.Ready || e.Group.State == registry.Joining {
			e.Group.State = registry.Joining
			if !l.in.Now.Before(l.loading[id]) {
				e.Group.State = registry.Ready
			}
		}
	}
}

func lossy(seed uint64, every, back time.Duration) *lossySite {
	l := &lossySite{
		demandSite: buildFarm(), random: rand.New(rand.NewPCG(seed, 1)), lossEvery: every, back: back,
		returning: map[string]time.Time{}, loading: map[string]time.Time{}, member: map[string]string{}, up: map[string]float64{},
	}
	for id, e := range l.endpoints {
		l.member[id] = fmt.Sprint(e.Group.Group, e.Group.Epoch, e.Incarnation)
	}
	return l
}

// Groups of the larger model break twice as often, and members of those that find no replacement
// form groups of the smaller one. That counted as a change of groups, after which 10 s must pass, so
// that the planner never made the change back.
var _ = Describe("Groups that follow demand while endpoints are lost in pairs", func() {
	DescribeTable("keep the larger model no busier than the smaller one", func(factor float64) {
		large, small := 0.0, 0.0
		for seed := range uint64(3) {
			l := lossy(seed, 3*time.Second, 20*time.Second)
			l.run(2*time.Minute, steady(factor), steady(factor))
			large += l.utilisation("large", factor*47.7/16.7)
			small += l.utilisation("small", factor*9)
		}
		GinkgoWriter.Printf("utilisation %.2f and %.2f\n", large/3, small/3)
		Expect(large).To(BeNumerically("<", 1.05*small))
	},
		Entry("mean demand", 1.0),
		Entry("1.3 times", 1.3),
		Entry("1.6 times", 1.6),
	)
})
