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

// batchRecorder records the batches that a follower applies.
type batchRecorder struct {
	mu      sync.Mutex
	batches []keyed.Batch
}

func (r *batchRecorder) apply(batch keyed.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batches = append(r.batches, batch)
}

func (r *batchRecorder) last() keyed.Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.batches) - 1; i >= 0; i-- {
		if !r.batches[i].Empty() {
			return r.batches[i]
		}
	}
	return keyed.Batch{}
}

// end returns the offset up to which the follower has read.
func (r *batchRecorder) end() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.batches) == 0 {
		return 0
	}
	return r.batches[len(r.batches)-1].End
}

var _ = Describe("A follower", func() {
	var log *fakes.KeyedLog
	var recorder *batchRecorder
	var follower *keyed.Follower
	put := func(key, value string) {
		Expect(log.Put(context.Background(), "keyed.t", keyed.Record{Key: key, Value: []byte(value)})).To(Succeed())
	}
	BeforeEach(func() {
		log = fakes.NewKeyedLog()
		recorder = &batchRecorder{}
		put("a", "1")
		ctx, cancel := context.WithCancel(context.Background())
		follower = keyed.NewFollower(log, "keyed.t", keyed.LongPoll(200*time.Millisecond, time.Second), recorder.apply, slog.New(slog.DiscardHandler))
		done := make(chan struct{})
		go func() {
			defer close(done)
			follower.Run(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		Eventually(follower.Synced).Should(BeTrue())
	})

	It("loads the newest record of each key and then follows appended records", func() {
		Expect(recorder.last().Complete).To(BeTrue())
		put("b", "2")
		Eventually(func() []keyed.Record { return recorder.last().Records }).Should(HaveLen(1))
		Eventually(func() string { return recorder.last().Records[0].Key }).Should(Equal("b"))
	})

	It("reloads the topic when the history that it missed has expired", func() {
		log.SetDown(true)
		Eventually(func() time.Duration { return follower.OutageLength(time.Now()) }, "2s").Should(BeNumerically(">", 0))
		log.SetDown(false)
		put("c", "3")
		log.Compact("keyed.t")
		Eventually(func() bool { return recorder.last().Complete && len(recorder.last().Records) == 2 }, "3s").Should(BeTrue())
	})

	It("reads from the store when refreshed because another daemon has newer records than its reader", func() {
		stale := keyed.NewMirror()
		stale.Follow("keyed.t", keyed.LongPoll(5*time.Second, time.Second), nil, func(keyed.Batch) {})(keyed.Batch{Complete: true, StoreReadAt: time.Now()})
		through := &keyed.Fallback{Log: log, Reader: func() keyed.Log { return stale }, Peer: func() keyed.Log { return nil }}
		other := &batchRecorder{}
		f := keyed.NewFollower(through, "keyed.t", keyed.LongPoll(5*time.Second, time.Second), other.apply, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)
		Eventually(f.Synced).Should(BeTrue())
		put("b", "2")
		f.Refresh(true)
		Eventually(func() int { return len(other.last().Records) }, "2s").Should(BeNumerically(">", 0))
	})

	It("reads a record whose transfer takes longer than the interval between two pokes", func() {
		delayed := &slowLog{Log: log, delay: 300 * time.Millisecond}
		other := &batchRecorder{}
		f := keyed.NewFollower(delayed, "keyed.t", keyed.LongPoll(5*time.Second, 2*time.Second), other.apply, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go f.Run(ctx)
		Eventually(f.Synced, "3s").Should(BeTrue())
		put("b", "2")
		read := func() string {
			f.Refresh(true)
			return other.last().Records[0].Key
		}
		Eventually(read, "3s", "50ms").Should(Equal("b"))
	})

	It("reports the length of a store outage", func() {
		log.SetDown(true)
		Eventually(func() time.Duration { return follower.OutageLength(time.Now()) }, "3s").Should(BeNumerically(">", 800*time.Millisecond))
		log.SetDown(false)
		Eventually(func() time.Duration { return recorder.last().OutageDuration }, "3s").Should(BeNumerically(">", 700*time.Millisecond))
		Expect(follower.OutageLength(time.Now())).To(BeZero())
	})
})

// slowLog delays each answer, like a large record on a slow link.
type slowLog struct {
	keyed.Log
	delay time.Duration
}

func (l *slowLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (keyed.Page, error) {
	page, err := l.Log.Read(ctx, topic, from, wait)
	select {
	case <-time.After(l.delay):
		return page, err
	case <-ctx.Done():
		return keyed.Page{}, ctx.Err()
	}
}
