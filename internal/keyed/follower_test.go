package keyed_test

import (
	"context"
	"log/slog"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/keyed"
)

// notes collects what a follower applied.
type notes struct {
	mu      sync.Mutex
	batches []keyed.Batch
}

func (n *notes) apply(batch keyed.Batch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.batches = append(n.batches, batch)
}

func (n *notes) last() keyed.Batch {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := len(n.batches) - 1; i >= 0; i-- {
		if !n.batches[i].Empty() {
			return n.batches[i]
		}
	}
	return keyed.Batch{}
}

var _ = Describe("A follower", func() {
	var log *fakes.KeyedLog
	var seen *notes
	var follower *keyed.Follower
	put := func(key, value string) {
		Expect(log.Put(context.Background(), "keyed.t", keyed.Record{Key: key, Value: []byte(value)})).To(Succeed())
	}
	BeforeEach(func() {
		log = fakes.NewKeyedLog()
		seen = &notes{}
		put("a", "1")
		ctx, cancel := context.WithCancel(context.Background())
		follower = keyed.NewFollower(log, "keyed.t", keyed.LongPoll(200*time.Millisecond, time.Second), seen.apply, slog.New(slog.DiscardHandler))
		done := make(chan struct{})
		go func() {
			defer close(done)
			follower.Run(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		Eventually(follower.Booted).Should(BeTrue())
	})

	It("starts with the newest of each key and goes on with what is added", func() {
		Expect(seen.last().Whole).To(BeTrue())
		put("b", "2")
		Eventually(func() []keyed.Record { return seen.last().Records }).Should(HaveLen(1))
		Eventually(func() string { return seen.last().Records[0].Key }).Should(Equal("b"))
	})

	It("rebuilds itself when the history that it missed has expired", func() {
		log.SetDown(true)
		Eventually(func() time.Duration { return follower.Failing(time.Now()) }, "2s").Should(BeNumerically(">", 0))
		log.SetDown(false)
		put("c", "3")
		log.Compact("keyed.t")
		Eventually(func() bool { return seen.last().Whole && len(seen.last().Records) == 2 }, "3s").Should(BeTrue())
	})

	It("asks the store itself when it is told that another daemon knows more than its reader", func() {
		stale := fakes.NewKeyedLog()
		through := &keyed.Fallback{Log: log, Reader: func() keyed.Log { return stale }, Peer: func() keyed.Log { return nil }}
		other := &notes{}
		f := keyed.NewFollower(through, "keyed.t", keyed.LongPoll(5*time.Second, time.Second), other.apply, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)
		Eventually(f.Booted).Should(BeTrue())
		put("b", "2")
		f.Poke(true)
		Eventually(func() int { return len(other.last().Records) }, "2s").Should(BeNumerically(">", 0))
	})

	It("reads a record that takes longer than the pause between two pokes", func() {
		slow := &slowLog{Log: log, takes: 300 * time.Millisecond}
		other := &notes{}
		f := keyed.NewFollower(slow, "keyed.t", keyed.LongPoll(5*time.Second, 2*time.Second), other.apply, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go f.Run(ctx)
		Eventually(f.Booted, "3s").Should(BeTrue())
		put("b", "2")
		read := func() string {
			f.Poke(true)
			return other.last().Records[0].Key
		}
		Eventually(read, "3s", "50ms").Should(Equal("b"))
	})

	It("tells how long the store was away", func() {
		log.SetDown(true)
		Eventually(func() time.Duration { return follower.Failing(time.Now()) }, "3s").Should(BeNumerically(">", 800*time.Millisecond))
		log.SetDown(false)
		Eventually(func() time.Duration { return seen.last().Regained }, "3s").Should(BeNumerically(">", 700*time.Millisecond))
		Expect(follower.Failing(time.Now())).To(BeZero())
	})
})

// slowLog takes its time for each answer, as for a large record on a slow link.
type slowLog struct {
	keyed.Log
	takes time.Duration
}

func (l *slowLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (keyed.Page, error) {
	page, err := l.Log.Read(ctx, topic, from, wait)
	select {
	case <-time.After(l.takes):
		return page, err
	case <-ctx.Done():
		return keyed.Page{}, ctx.Err()
	}
}
