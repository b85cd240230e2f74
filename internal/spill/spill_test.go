package spill_test

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/admit"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/relay"
	"github.com/plantainmux/plantainmux/internal/request"
	"github.com/plantainmux/plantainmux/internal/spill"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/view"
)

var _ = Describe("A request forwarded to another data centre", func() {
	var engine *fakes.Engine
	var mesh *loopbackMesh
	var server *spill.Server
	body := []byte(`{"model":"m","prompt":"` + strings.Repeat("x", 600) + `"}`)

	BeforeEach(func() {
		engine = fakes.NewEngine(fakes.EngineOptions{VM: "vm", Tokens: 4, CacheBlocks: 8})
		engine.SetReport(fleet.MemberReport{VM: "vm", Group: 1, State: fleet.EngineReady, Model: "m"})
		listener, err := fakes.StartServer("127.0.0.1:0", engine.Handler())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Kill)
		views := view.NewStore()
		views.Publish(&view.View{
			Config: config.Versioned{Configuration: config.Configuration{Models: []config.Model{{Name: "m", Requests: 4}}, Teams: []config.Team{{Name: "team", Share: 1}}}},
			Groups: []*view.Serving{{
				Group:         fleet.Group{Fencing: 1, Model: "m", Members: []fleet.VMID{"vm"}},
				LeaderAddress: listener.Address(), ValidUntil: time.Now().Add(time.Hour), Capacity: 4, Load: &view.Load{},
			}},
		})
		mesh = &loopbackMesh{Solo: peer.NewSolo("daemon")}
		gate := admit.NewGate(admit.Dependencies{Views: views, Mesh: mesh, Declared: 1, Bounds: admit.Bounds{QueueLength: 4, QueueWait: time.Second}})
		server = spill.NewServer(mesh, gate, relay.New(relay.Dependencies{
			Views: views, Engine: endpoint.NewHTTPEngine(), Suspects: suspect.NewWatch(mesh, "north"), Metrics: metric.NewSet(),
			Observer: relay.NoObserver{}, Failed: func(fleet.VMID, time.Time) {},
		}))
	})
	generate := func() ([]endpoint.Frame, error) {
		req := &request.Request{ID: "id", Team: "team", Model: "m", Body: body, Deadline: time.Now().Add(time.Minute)}
		stream, err := spill.NewClient(mesh).Generate(context.Background(), "south", req, "id.7")
		Expect(err).NotTo(HaveOccurred())
		var frames []endpoint.Frame
		for {
			frame, err := stream.Next()
			if err != nil {
				return frames, err
			}
			frames = append(frames, frame)
		}
	}
	expectNotRun := func(code refusal.Reason) {
		frames, err := generate()
		Expect(frames).To(BeEmpty())
		Expect(err).To(Equal(&endpoint.NotRunError{Address: "south", Code: string(code)}))
	}

	It("returns the complete answer with the attempt ID of the forwarding daemon", func() {
		frames, err := generate()
		var broken *endpoint.BrokenError
		Expect(err).To(BeAssignableToTypeOf(broken)) // nothing follows the end marker
		text := ""
		for i, frame := range frames {
			Expect(frame.Attempt).To(Equal("id.7"))
			Expect(frame.Index).To(Equal(i))
			Expect(frame.Done).To(Equal(i == 4))
			Expect(frame.Cache).To(BeNil())
			text += frame.Text
		}
		Expect(text).To(Equal(fakes.Answer(body, 4)))
	})

	It("is refused as not run if it did not run", func() {
		engine.SetStreamFaults(fakes.StreamFaults{Refuse: endpoint.CodeQueueFull})
		expectNotRun(refusal.EndpointRefused)
		engine.SetStreamFaults(fakes.StreamFaults{})
		server.Drain()
		expectNotRun(refusal.Draining)
		for _, event := range engine.Events() {
			Expect(event.Kind).NotTo(Equal(fakes.EventStart))
		}
		_, err := spill.NewClient(peer.NewSolo("alone")).Generate(context.Background(), "south", &request.Request{}, "id.7")
		var unreachable *endpoint.UnreachableError
		Expect(err).To(BeAssignableToTypeOf(unreachable))
	})

	It("fails as broken, not as not run, if it may have run or the answer is invalid", func() {
		engine.SetStreamFaults(fakes.StreamFaults{CutBefore: 2, Forget: true})
		frames, err := generate()
		Expect(frames).To(HaveLen(2))
		var broken *endpoint.BrokenError
		Expect(err).To(BeAssignableToTypeOf(broken))
		mesh.handler = func(_ context.Context, _ fleet.DaemonID, _ cbor.RawMessage, send func(any) error) error {
			return send(spill.Answer{})
		}
		_, err = generate()
		Expect(err).To(Equal(&endpoint.BrokenError{Address: "south", Err: &spill.EmptyAnswerError{}}))
	})
})
