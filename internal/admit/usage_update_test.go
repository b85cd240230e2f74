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

// lossyMesh connects two gates. It delivers messages at once or drops them.
type lossyMesh struct {
	*peer.Solo
	other   *lossyMesh
	handler peer.Handler
	answer  peer.CallHandler
	drop    bool
}

func (m *lossyMesh) Subscribe(_ peer.Topic, handler peer.Handler)       { m.handler = handler }
func (m *lossyMesh) HandleCall(_ peer.Method, handler peer.CallHandler) { m.answer = handler }
func (m *lossyMesh) PublishSoon(topic peer.Topic, scope peer.Scope, body any) {
	m.Publish(topic, scope, body)
}

func (m *lossyMesh) Publish(_ peer.Topic, _ peer.Scope, body any) {
	data, err := cbor.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	if !m.drop {
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

var _ = Describe("Incremental usage updates", func() {
	var sender, receiver *Gate
	var mesh *lossyMesh

	newSide := func(id fleet.DaemonID) (*Gate, *lossyMesh) {
		views := view.NewStore()
		views.Publish(&view.View{Config: configured(1, "a", "b")})
		side := &lossyMesh{Solo: peer.NewSolo(id)}
		return NewGate(Dependencies{Views: views, Mesh: side, Declared: 2}), side
	}
	run := func(team fleet.TeamName, running int) { sender.state.pool(loadModel).team(team).running = running }
	publish := func() {
		update, _, _ := sender.rebalance(time.Now())
		sender.publishUpdate(update, true)
	}
	received := func(team fleet.TeamName) func() int {
		return func() int {
			receiver.mu.Lock()
			defer receiver.mu.Unlock()
			return receiver.state.peers.usage("teller", demandKey{loadModel, team}).Running
		}
	}

	BeforeEach(func() {
		var other *lossyMesh
		sender, mesh = newSide("teller")
		receiver, other = newSide("hearer")
		mesh.other, other.other = other, mesh
	})

	It("are repaired after a lost update even without further changes", func() {
		run("a", 3)
		publish()
		Expect(received("a")()).To(Equal(3))
		mesh.drop = true
		run("a", 7)
		run("b", 2)
		publish()
		mesh.drop = false
		Expect(received("a")()).To(Equal(3))
		publish()
		Eventually(received("a")).Should(Equal(7))
		Eventually(received("b")).Should(Equal(2))
	})

	It("are replaced by a snapshot by names while the peer has another configuration version", func() {
		receiver.Views.Publish(&view.View{Config: configured(2, "x", "b", "a")})
		run("a", 3)
		run("b", 5)
		publish()
		Eventually(received("a")).Should(Equal(3))
		Eventually(received("b")).Should(Equal(5))
		Expect(received("x")()).To(BeZero())
	})

	It("wait for the same configuration version before a snapshot is fetched", func() {
		run("a", 3)
		publish()
		now := time.Now()
		receiver.Views.Publish(&view.View{Config: configured(2, "b", "a")})
		run("a", 4)
		update, _, _ := sender.rebalance(now)
		Expect(receiver.state.applyUpdate("teller", update, now)).To(BeFalse())
		Expect(receiver.state.applyUpdate("teller", update, now.Add(2*fetchDelay))).To(BeTrue())
		receiver.Views.Publish(&view.View{Config: configured(1, "a", "b")})
		Expect(receiver.state.applyUpdate("teller", update, now)).To(BeFalse())
		Expect(received("a")()).To(Equal(4))
	})
})

var _ = Describe("A usage update with limited space", func() {
	It("sends the largest changes first and every change eventually", func() {
		numbers := newUsageNumbers(configured(1, "a", "b", "c"))
		key := func(team fleet.TeamName) demandKey { return demandKey{loadModel, team} }
		published := newPublishedUsage()
		usage := map[demandKey]TeamUsage{key("b"): {Running: 1}}
		rounds := 0
		for published.usage[key("b")].Running == 0 {
			rounds++
			usage[key("a")] = TeamUsage{Running: 10 * (rounds % 2)}
			usage[key("c")] = TeamUsage{Waiting: 8 * (rounds % 2)}
			published.nextUpdate(usage, nil, numbers, 2)
			if rounds == 1 {
				Expect(published.usage).To(Equal(map[demandKey]TeamUsage{key("a"): {Running: 10}}))
			}
			Expect(rounds).To(BeNumerically("<", 20))
		}
	})

	It("prefers models with scarce capacity", func() {
		c := configured(1, "a")
		c.Models = append(c.Models, config.Model{Name: "scarce"})
		large, small := demandKey{loadModel, "a"}, demandKey{"scarce", "a"}
		published := newPublishedUsage()
		usage := map[demandKey]TeamUsage{large: {Running: 9}, small: {Running: 1}}
		published.nextUpdate(usage, map[fleet.ModelName]bool{"scarce": true}, newUsageNumbers(c), 2)
		Expect(published.usage).To(HaveKey(small))
		Expect(published.usage).NotTo(HaveKey(large))
	})
})
