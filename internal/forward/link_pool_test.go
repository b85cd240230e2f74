package forward_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/locality"
)

// countedLinks counts the links to each address. It implements forward.Links.
type countedLinks struct {
	addresses map[string]string
	links     map[string]int // by address
	busy      map[string]bool
}

func (l *countedLinks) Address(daemon string) string { return l.addresses[daemon] }
func (l *countedLinks) Connect(_, address string) func() {
	l.links[address]++
	return func() { l.links[address]-- }
}
func (l *countedLinks) Await(context.Context, string, time.Duration) bool { return true }
func (l *countedLinks) Idle(daemon string) bool                           { return !l.busy[daemon] }

var _ = Describe("A pool of links", func() {
	var links *countedLinks
	var paths []string
	var now time.Time
	var pool *forward.LinkPool
	pick := func() string {
		daemon, ok := pool.Pick(context.Background(), nil)
		Expect(ok).To(BeTrue())
		return daemon
	}
	sweepLater := func(d time.Duration) {
		now = now.Add(d)
		pool.Sweep()
	}
	BeforeEach(func() {
		now, paths = time.Now(), []string{"a"}
		links = &countedLinks{addresses: map[string]string{"a": "host-a", "b": "host-b"}, links: map[string]int{}, busy: map[string]bool{}}
		pool = forward.NewLinkPool(links, func(*locality.Allowed) []string { return paths }, func() time.Time { return now })
	})

	// Guards against streams that break when another daemon becomes the dispatcher.
	It("releases the link to a daemon that is no longer kept only when nothing is in progress on it", func() {
		pool.Keep("a")
		daemon := pick()
		Expect(links.links).To(Equal(map[string]int{"host-a": 1}), "one link for both uses")
		pool.Keep("b")
		sweepLater(time.Minute)
		Expect(links.links).To(Equal(map[string]int{"host-a": 1, "host-b": 1}))
		pool.Release(daemon, false)
		links.busy["a"] = true // an exchange that the other daemon forwards
		sweepLater(time.Minute)
		Expect(links.links["host-a"]).To(Equal(1))
		links.busy["a"] = false
		sweepLater(time.Second)
		Expect(links.links).To(Equal(map[string]int{"host-a": 0, "host-b": 1}))
	})
	It("keeps an unused link to the daemon named, and the previous one for the time of idle links", func() {
		pool.Keep("a")
		sweepLater(time.Hour)
		Expect(links.links["host-a"]).To(Equal(1))
		pool.Keep("")
		sweepLater(29 * time.Second)
		Expect(links.links["host-a"]).To(Equal(1))
		sweepLater(2 * time.Second)
		Expect(links.links["host-a"]).To(BeZero())
	})
	// Guards against a pause that a jump of the wall clock ends or prolongs.
	It("prefers other daemons to one that has failed, for a time by its own clock", func() {
		paths = []string{"a", "b"}
		pool.Release(pick(), true)
		Expect(pick()).To(Equal("b"))
		now = now.Add(499 * time.Millisecond)
		Expect(pick()).To(Equal("b"))
		now = now.Add(500 * time.Millisecond)
		Expect(pick()).To(Equal("a"))
	})
	// Guards against a link to the address of a daemon before its restart.
	It("follows a daemon to another address once nothing is in progress", func() {
		pool.Keep("a")
		links.addresses["a"], links.busy["a"] = "host-c", true
		pool.Keep("a")
		Expect(links.links).To(Equal(map[string]int{"host-a": 1}))
		links.busy["a"] = false
		pool.Keep("a")
		Expect(links.links).To(Equal(map[string]int{"host-a": 0, "host-c": 1}))
		delete(links.addresses, "a") // not heard of for a time
		pool.Keep("a")
		Expect(links.links["host-c"]).To(Equal(1))
	})
})
