package keyed_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/keyed"
)

// eraLog answers reads with an era of its own, as a delayed answer does.
type eraLog struct {
	keyed.Log
	mu  sync.Mutex
	era uint64
	on  bool
}

func (l *eraLog) set(on bool, era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on, l.era = on, era
}

func (l *eraLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (keyed.Page, error) {
	page, err := l.Log.Read(ctx, topic, from, wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.on {
		page.Era = l.era
	}
	return page, err
}

var _ = Describe("A store that comes back from an older copy", func() {
	const topic = "keyed.t"
	ctx := context.Background()
	var log *fakes.KeyedLog
	var delayed *eraLog
	var recorder *batchRecorder
	put := func(key, value string) {
		Expect(log.Put(ctx, topic, keyed.Record{Key: key, Value: []byte(value)})).To(Succeed())
	}
	follow := func(from keyed.Log, wait time.Duration, apply func(keyed.Batch)) *keyed.Follower {
		f := keyed.NewFollower(from, topic, keyed.LongPoll(wait, time.Second), apply, slog.New(slog.DiscardHandler))
		run, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(run)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		Eventually(f.Synced).Should(BeTrue())
		return f
	}
	restored := func() []keyed.Batch {
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		var found []keyed.Batch
		for _, batch := range recorder.batches {
			if batch.Restored {
				found = append(found, batch)
			}
		}
		return found
	}
	BeforeEach(func() {
		log = fakes.NewKeyedLog()
		delayed = &eraLog{Log: log}
		recorder = &batchRecorder{}
		put("a", "1")
		put("b", "1")
	})

	It("is read anew by a follower whose long poll is open, at offsets that are assigned again", func() {
		follow(log, 300*time.Millisecond, recorder.apply)
		put("a", "2")
		Eventually(func() string { return string(recorder.last().Records[0].Value) }).Should(Equal("2"))
		log.Restore(2)
		put("c", "1")
		put("d", "1")
		Eventually(restored).Should(HaveLen(1))
		Expect(restored()[0].Complete).To(BeTrue())
		Expect(restored()[0].Era).To(Equal(uint64(1)))
		newest := func() map[string]string {
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			found := map[string]string{}
			for _, batch := range recorder.batches {
				if batch.Complete {
					clear(found)
				}
				for _, record := range batch.Records {
					found[record.Key] = string(record.Value)
				}
			}
			return found
		}
		Eventually(newest).Should(Equal(map[string]string{"a": "1", "c": "1", "d": "1"}))
	})

	It("is read anew when the offset that a follower reads from does not exist any more", func() {
		f := follow(log, 50*time.Millisecond, recorder.apply)
		put("a", "2")
		put("c", "1")
		Eventually(func() uint64 { return recorder.last().End }).Should(Equal(uint64(4)))
		log.SetDown(true)
		Eventually(func() time.Duration { return f.OutageLength(time.Now()) }, "2s").Should(BeNumerically(">", 0))
		log.Restore(3)
		log.SetDown(false)
		Eventually(restored, "2s").Should(HaveLen(1))
	})

	It("is read anew each time when it happens twice in a row", func() {
		follow(log, 50*time.Millisecond, recorder.apply)
		log.Restore(1)
		Eventually(restored).Should(HaveLen(1))
		log.Restore(0)
		log.Restore(0)
		Eventually(func() uint64 { return recorder.last().Era }).Should(Equal(uint64(3)))
		Consistently(func() int { return len(restored()) }, "200ms").Should(Equal(2))
	})

	It("is not followed back by a delayed answer of an earlier era", func() {
		follow(delayed, 20*time.Millisecond, recorder.apply)
		log.Restore(0)
		Eventually(restored).Should(HaveLen(1))
		delayed.set(true, 0)
		put("late", "1")
		Consistently(func() []keyed.Record { return recorder.last().Records }, "300ms").Should(HaveLen(2))
		Expect(recorder.last().Era).To(Equal(uint64(1)))
		delayed.set(false, 0)
		Eventually(func() string { return recorder.last().Records[0].Key }, "2s").Should(Equal("late"))
	})

	It("is read at the store itself while the data centre's reader is an era behind", func() {
		reader := &eraLog{Log: log}
		through := &keyed.Fallback{Log: log, Reader: func() keyed.Log { return reader }, Peer: func() keyed.Log { return nil }}
		follow(through, 20*time.Millisecond, recorder.apply)
		log.Restore(0)
		Eventually(restored).Should(HaveLen(1))
		reader.set(true, 0)
		put("c", "1")
		Eventually(func() string { return recorder.last().Records[0].Key }).Should(Equal("c"))
		Expect(recorder.last().Era).To(Equal(uint64(1)))
	})

	It("is told to the daemons that read through a mirror, whose waiting reads end", func() {
		mirror := keyed.NewMirror()
		pacing := keyed.LongPoll(5*time.Second, time.Second)
		follow(log, 5*time.Second, mirror.Follow(topic, pacing, nil, func(keyed.Batch) {}))
		put("c", "1")
		Eventually(func() uint64 {
			page, _ := mirror.Newest(ctx, topic, "")
			return page.End
		}).Should(Equal(uint64(3)))
		time.AfterFunc(50*time.Millisecond, func() { log.Restore(2) })
		started := time.Now()
		page, err := mirror.Read(ctx, topic, 3, 4*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Era).To(Equal(uint64(1)))
		Expect(page.Records).To(BeEmpty())
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		page, err = mirror.Newest(ctx, topic, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(page.End).To(Equal(uint64(1)))
	})

	It("is noticed once, by whichever call shows it first", func() {
		var eras []uint64
		observer := keyed.NewEraObserver(log, func(era uint64) { eras = append(eras, era) })
		_, err := observer.Newest(ctx, topic, "")
		Expect(err).NotTo(HaveOccurred())
		log.Restore(1)
		first, err := observer.Append(ctx, topic, 1, []keyed.Record{{Key: "x", Value: []byte("1")}})
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(Equal(keyed.Position{Era: 1, Offset: 1}))
		_, err = observer.Read(ctx, topic, 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(eras).To(Equal([]uint64{1}))
	})

	It("gives positions that rise although offsets go back", func() {
		before := keyed.Position{Era: 1, Offset: 4000}
		after := keyed.Position{Era: 2, Offset: 7}
		Expect(after.Ordinal()).To(BeNumerically(">", before.Ordinal()))
		Expect(keyed.EraOf(after.Ordinal())).To(Equal(uint64(2)))
		Expect(keyed.Position{Offset: 9}.Ordinal()).To(Equal(uint64(9)))
	})

	It("answers a read beyond its end as expired", func() {
		_, err := log.Read(ctx, topic, 9, 0)
		var expired *keyed.ExpiredError
		Expect(errors.As(err, &expired)).To(BeTrue())
	})
})
