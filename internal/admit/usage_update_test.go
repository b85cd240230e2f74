package admit

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/view"
)

// lossyMesh carries usage between two gates at once, or loses it.
type lossyMesh struct {
	*peer.Solo
	other   *lossyMesh
	handler peer.Handler
	answer  peer.CallHandler
	lose    bool
}

func (m *lossyMesh) Subscribe(_ peer.Topic, handler peer.Handler)       { m.handler = handler }
func (m *lossyMesh) HandleCall(_ peer.Method, handler peer.CallHandler) { m.answer = handler }
func (m *lossyMesh) PublishSoon(topic peer.Topic, scope peer.Scope, body any) {
	m.Publish(topic, scope, body)
}

func (m *lossyMesh) Publish(_ peer.Topic, _ peer.Scope, body any) {
	data, err := cbor.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	if !m.lose {
		m.other.handler(m.Self(), data)
	}
}

func (m *lossyMesh) Call(ctx context.Context, _ fleet.DaemonID, _ peer.Method, _, reply any) error {
	answer, err := m.other.answer(ctx, m.Self(), nil)
	Expect(err).NotTo(HaveOccurred())
	data, err := cbor.Marshal(answer)
	Expect(err).NotTo(HaveOccurred())
	return cbor.Unmarshal(data, reply)
}

func configured(version infra.Offset, teams ...fleet.TeamName) config.Versioned {
	c := config.Versioned{Version: version}
	c.Models = []config.Model{{Name: loadModel}}
	for _, name := range teams {
		c.Teams = append(c.Teams, config.Team{Name: name, Share: 1})
	}
	return c
}

var _ = Describe("Usage told as changes", func() {
	var teller, hearer *Gate
	var mesh *lossyMesh

	newSide := func(id fleet.DaemonID) (*Gate, *lossyMesh) {
		views := view.NewStore()
		views.Publish(&view.View{Config: configured(1, "a", "b")})
		side := &lossyMesh{Solo: peer.NewSolo(id)}
		return NewGate(Dependencies{Views: views, Mesh: side, Declared: 2}), side
	}
	run := func(team fleet.TeamName, running int) { teller.state.pool(loadModel).team(team).running = running }
	tell := func() {
		update, _, _ := teller.round(time.Now())
		teller.tell(update, true)
	}
	heard := func(team fleet.TeamName) func() int {
		return func() int {
			hearer.mu.Lock()
			defer hearer.mu.Unlock()
			return hearer.state.peers.usage("teller", demandKey{loadModel, team}).Running
		}
	}

	BeforeEach(func() {
		var other *lossyMesh
		teller, mesh = newSide("teller")
		hearer, other = newSide("hearer")
		mesh.other, other.other = other, mesh
	})

	It("is repaired after an update was lost, though nothing changes any more", func() {
		run("a", 3)
		tell()
		Expect(heard("a")()).To(Equal(3))
		mesh.lose = true
		run("a", 7)
		run("b", 2)
		tell()
		mesh.lose = false
		Expect(heard("a")()).To(Equal(3))
		tell()
		Eventually(heard("a")).Should(Equal(7))
		Eventually(heard("b")).Should(Equal(2))
	})

	It("is heard by names from a daemon whose configuration stays another one", func() {
		hearer.Views.Publish(&view.View{Config: configured(2, "x", "b", "a")})
		run("a", 3)
		run("b", 5)
		tell()
		Eventually(heard("a")).Should(Equal(3))
		Eventually(heard("b")).Should(Equal(5))
		Expect(heard("x")()).To(BeZero())
	})

	It("waits for the same configuration before it asks", func() {
		run("a", 3)
		tell()
		now := time.Now()
		hearer.Views.Publish(&view.View{Config: configured(2, "b", "a")})
		run("a", 4)
		update, _, _ := teller.round(now)
		Expect(hearer.state.learn("teller", update, now)).To(BeFalse())
		Expect(hearer.state.learn("teller", update, now.Add(2*askAfter))).To(BeTrue())
		hearer.Views.Publish(&view.View{Config: configured(1, "a", "b")})
		Expect(hearer.state.learn("teller", update, now)).To(BeFalse())
		Expect(heard("a")()).To(Equal(4))
	})
})

var _ = Describe("An update with room for few changes", func() {
	It("has the largest first, and passes none over for ever", func() {
		numbers := newUsageNumbers(configured(1, "a", "b", "c"))
		key := func(team fleet.TeamName) demandKey { return demandKey{loadModel, team} }
		told := newToldUsage()
		usage := map[demandKey]TeamUsage{key("b"): {Running: 1}}
		rounds := 0
		for told.usage[key("b")].Running == 0 {
			rounds++
			usage[key("a")] = TeamUsage{Running: 10 * (rounds % 2)}
			usage[key("c")] = TeamUsage{Waiting: 8 * (rounds % 2)}
			told.next(usage, nil, numbers, 2)
			if rounds == 1 {
				Expect(told.usage).To(Equal(map[demandKey]TeamUsage{key("a"): {Running: 10}}))
			}
			Expect(rounds).To(BeNumerically("<", 20))
		}
	})

	It("prefers models whose capacity is scarce", func() {
		c := configured(1, "a")
		c.Models = append(c.Models, config.Model{Name: "scarce"})
		large, small := demandKey{loadModel, "a"}, demandKey{"scarce", "a"}
		told := newToldUsage()
		usage := map[demandKey]TeamUsage{large: {Running: 9}, small: {Running: 1}}
		told.next(usage, map[fleet.ModelName]bool{"scarce": true}, newUsageNumbers(c), 2)
		Expect(told.usage).To(HaveKey(small))
		Expect(told.usage).NotTo(HaveKey(large))
	})
})
