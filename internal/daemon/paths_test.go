package daemon

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/view"
)

// countedLinks counts its links. It implements forward.Links.
type countedLinks struct{ links atomic.Int32 }

func (l *countedLinks) Address(string) string { return "" }
func (l *countedLinks) Connect(string, string) func() {
	l.links.Add(1)
	return func() { l.links.Add(-1) }
}
func (l *countedLinks) Await(context.Context, string, time.Duration) bool { return true }
func (l *countedLinks) Idle(string) bool                                  { return true }

var _ = Describe("The daemons through which a daemon has forwarded", func() {
	// Guards against a pool that keeps a name for each daemon that there has ever been.
	It("are forgotten when they have been unused for long", func() {
		links := &countedLinks{}
		var later atomic.Int64
		clock := func() time.Time { return time.Now().Add(time.Duration(later.Load())) }
		d := &Daemon{views: view.NewStore(), leaders: knownLeaders{}}
		d.paths = forward.NewLinkPool(links, func(*locality.Allowed) []string { return []string{"n1", "n2"} }, clock)
		d.endpoints = forward.NewRouter(forward.Dependencies{Paths: d.paths})
		d.paths.Prepare()
		Expect(links.links.Load()).To(BeEquivalentTo(2))
		later.Store(int64(time.Minute))
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go d.reviewEndpoints(ctx)
		Eventually(links.links.Load, "3s", "10ms").Should(BeZero())
	})
})
