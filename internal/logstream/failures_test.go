package logstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/metric"
)

// proposeAsync proposes a value in a goroutine and returns a channel for the error.
func proposeAsync(ctx context.Context, s *Stream[*listFold], value int) <-chan error {
	failed := make(chan error, 1)
	go func() {
		_, err := s.Propose(ctx, kindAdd, value)
		failed <- err
	}()
	return failed
}

var lostAnswer = &infra.UnknownOutcomeError{Operation: "append", Err: rejectedValueError{}}

var _ = ginkgo.Describe("A writer", func() {
	var log *fakes.Log
	var client *hookedLog
	var stream *Stream[*listFold]

	ginkgo.BeforeEach(func() {
		log = fakes.NewLog(fakes.DefaultAppendRate)
		client = newHookedLog(log)
		stream = runStream(client, newListFold(), testOptions("a"))
		propose(stream, 1)
	})

	ginkgo.It("fences an abandoned record, so that a delayed append of it has no effect", func() {
		var mu sync.Mutex
		var late [][]byte
		client.hook(func(_ string, records [][]byte) (infra.Offset, error) {
			mu.Lock()
			defer mu.Unlock()
			late = records
			return 0, lostAnswer
		}, nil)
		ctx, cancel := context.WithCancel(context.Background())
		failed := proposeAsync(ctx, stream, 2)
		Eventually(func() int { mu.Lock(); defer mu.Unlock(); return len(late) }, eventuallyTimeout, pollInterval).Should(Equal(1))
		cancel()
		var err *ProposalError
		Expect(errors.As(<-failed, &err)).To(BeTrue())
		Expect(err.Sent).To(BeTrue())
		client.hook(nil, nil)
		// An append that started before hook(nil, nil) may still be in progress.
		mu.Lock()
		abandoned := late
		mu.Unlock()
		before := logEnd(log)
		Eventually(func() uint64 { return stream.counters.fences.Get() }, eventuallyTimeout, pollInterval).Should(Equal(uint64(1)))
		Eventually(stream.Next, eventuallyTimeout, pollInterval).Should(BeNumerically(">", before))

		log.Append(testStream, abandoned)
		propose(stream, 3)
		Expect(valuesOf(stream)).To(Equal([]int{1, 3}))
	})

	ginkgo.It("never sends a proposal that it reported as not sent", func() {
		tries := atomic.Int64{}
		client.hook(func(string, [][]byte) (infra.Offset, error) {
			tries.Add(1)
			return 0, &infra.UnavailableError{Operation: "append", Err: rejectedValueError{}}
		}, nil)
		ctx, cancel := context.WithCancel(context.Background())
		kept := proposeAsync(context.Background(), stream, 2)
		Eventually(tries.Load, eventuallyTimeout, pollInterval).Should(BeNumerically(">", 0))
		// The next two proposals wait in the queue while the first is being retried.
		var errs []error
		cancelled := []<-chan error{proposeAsync(ctx, stream, 3), proposeAsync(ctx, stream, 4)}
		time.Sleep(20 * time.Millisecond)
		cancel()
		for _, failed := range cancelled {
			errs = append(errs, <-failed)
		}
		client.hook(nil, nil)
		Eventually(kept, eventuallyTimeout).Should(Receive(BeNil()))
		propose(stream, 5)
		for _, err := range errs {
			var proposal *ProposalError
			Expect(errors.As(err, &proposal)).To(BeTrue())
			Expect(proposal.Sent).To(BeFalse())
		}
		Expect(valuesOf(stream)).To(Equal([]int{1, 2, 5}))
	})

	ginkgo.It("drops an abandoned proposal from a batch that it retries", func() {
		w := stream.writer
		client.hook(func(string, [][]byte) (infra.Offset, error) {
			return 0, &infra.UnavailableError{Operation: "append", Err: rejectedValueError{}}
		}, nil)
		body, _ := Marshal(2)
		other, _ := Marshal(3)
		w.mu.Lock()
		first := &proposal{kind: kindAdd, body: body, reply: make(chan proposalResult, 1)}
		second := &proposal{kind: kindAdd, body: other, reply: make(chan proposalResult, 1)}
		w.queue = append(w.queue, first, second)
		w.mu.Unlock()
		w.wake <- struct{}{}
		// Between two tries no proposal is marked as sent or has an unknown outcome.
		abandonFirst := func() bool {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			w.mu.Lock()
			idle := first.seq != 0 && !first.sent
			w.mu.Unlock()
			if !idle {
				return false
			}
			_, err := w.abandon(ctx, first)
			var failed *ProposalError
			return errors.As(err, &failed) && !failed.Sent
		}
		Eventually(abandonFirst, eventuallyTimeout, time.Millisecond).Should(BeTrue())
		client.hook(nil, nil)
		Eventually(second.reply, eventuallyTimeout).Should(Receive())
		Expect(valuesOf(stream)).To(Equal([]int{1, 3}))
	})

	ginkgo.It("reports a record as fenced when a later one was read back before it", func() {
		w := newWriter(nil, testStream, testOptions("a").withDefaults(), newCounters(metric.NewSet(), testStream))
		w.applied = func() infra.Offset { return 0 }
		earlier, later := w.enqueue(kindAdd, nil), w.enqueue(kindAdd, nil)
		_, err := w.takeBatch()
		Expect(err).NotTo(HaveOccurred())
		w.resolve(2, Receipt{Offset: 1})
		var fenced *FencedError
		Expect(errors.As((<-earlier.reply).err, &fenced)).To(BeTrue())
		Expect((<-later.reply).err).NotTo(HaveOccurred())
	})

	ginkgo.It("appends all queued proposals in one batch", func() {
		const waiting = 100
		var appends atomic.Int64
		client.hook(func(name string, records [][]byte) (infra.Offset, error) {
			if kindOf(records[0]) != kindAdd {
				first, _ := log.Append(name, records)
				return first, nil
			}
			appends.Add(1)
			queued := func() int {
				stream.writer.mu.Lock()
				defer stream.writer.mu.Unlock()
				return len(stream.writer.queue)
			}
			if appends.Load() == 1 {
				Eventually(queued, eventuallyTimeout, pollInterval).Should(Equal(waiting - 1))
			}
			first, _ := log.Append(name, records)
			return first, nil
		}, nil)
		var wait sync.WaitGroup
		for value := range waiting {
			wait.Go(func() {
				defer ginkgo.GinkgoRecover()
				propose(stream, 7*value+1)
			})
			if value == 0 {
				Eventually(appends.Load, eventuallyTimeout, pollInterval).Should(BeEquivalentTo(1))
			}
		}
		wait.Wait()
		Expect(appends.Load()).To(BeEquivalentTo(2))
	})

	ginkgo.It("fails a proposal whose record expired before it was read back, and stops appending it", func() {
		client.hook(func(name string, records [][]byte) (infra.Offset, error) {
			log.Append(name, records)
			return 0, lostAnswer
		}, func(infra.Offset, int) error {
			return &infra.UnavailableError{Operation: "read", Err: rejectedValueError{}}
		})
		failed := proposeAsync(context.Background(), stream, 2)
		Eventually(func() infra.Offset { return logEnd(log) }, eventuallyTimeout, pollInterval).Should(BeNumerically(">", 2))
		other := runStream(newHookedLog(log), newListFold(), testOptions("b"))
		for value := 100; value < 200; value++ {
			propose(other, value)
		}
		Eventually(func() bool { return other.snapshots.newestSeen(other) > 60 }, eventuallyTimeout, pollInterval).Should(BeTrue())
		log.Expire(testStream, 50)
		client.hook(nil, nil)

		var err *ProposalError
		var skipped *SkippedError
		var got error
		Eventually(failed, eventuallyTimeout).Should(Receive(&got))
		Expect(errors.As(got, &err)).To(BeTrue())
		Expect(err.Sent).To(BeTrue())
		Expect(errors.As(got, &skipped)).To(BeTrue())
		propose(stream, 3)
		Eventually(func() []int { return valuesOf(other) }, eventuallyTimeout, pollInterval).Should(Equal(valuesOf(stream)))
	})
})

func (s *snapshotState) newestSeen(stream *Stream[*listFold]) infra.Offset {
	stream.mu.RLock()
	defer stream.mu.RUnlock()
	return s.newestAsOf
}

var _ = ginkgo.Describe("A follower", func() {
	ginkgo.It("rejects a log that ends before the last applied record, and one that was rewritten", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		stream := runStream(newHookedLog(log), newListFold(), testOptions("a"))
		for value := 1; value <= 5; value++ {
			propose(stream, value)
		}
		log.Truncate(testStream, 3)
		var regressed *RegressedError
		Eventually(func() bool { return errors.As(stream.Refused(), &regressed) }, eventuallyTimeout, pollInterval).Should(BeTrue())
		_, err := stream.Propose(context.Background(), kindAdd, 6)
		var failed *ProposalError
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Sent).To(BeFalse())

		for seq := range uint64(10) {
			log.Append(testStream, [][]byte{rawRecord("b", seq+1, 2, int(100+seq))})
		}
		var rewritten *RewrittenError
		Eventually(func() bool { return errors.As(stream.Refused(), &rewritten) }, eventuallyTimeout, pollInterval).Should(BeTrue())
		Expect(errors.As(stream.Confirm(context.Background()), &rewritten)).To(BeTrue())
		Consistently(func() []int { return valuesOf(stream) }, 100*time.Millisecond, pollInterval).Should(Equal([]int{1, 2, 3, 4, 5}))
		Expect(stream.counters.refused.Get()).To(BeNumerically(">", 0))
		Expect(stream.refusedGauge()).To(Equal(1.0))
	})

	ginkgo.It("sets the confirmation time to the start of a read that reached the log's end", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		client := newHookedLog(log)
		now := time.Unix(0, 0)
		client.hook(nil, func(infra.Offset, int) error { now = now.Add(time.Hour); return nil })
		options := testOptions("a")
		options.Now = func() time.Time { return now }
		stream := New(client, testStream, newListFold(), options)
		Expect(stream.poll(context.Background())).To(Succeed())
		for value := range 2*maxPageRecords + 1 {
			log.Append(testStream, [][]byte{rawRecord("filler", uint64(value+1), logEnd(log)-1, value)})
		}
		before := stream.ConfirmedAt()
		Expect(stream.poll(context.Background())).To(Succeed())
		Expect(stream.ConfirmedAt()).To(Equal(before))
		started := now
		Expect(stream.Confirm(context.Background())).To(Succeed())
		Expect(stream.Next()).To(Equal(logEnd(log)))
		Expect(stream.ConfirmedAt()).To(BeTemporally("==", started))

		log.Truncate(testStream, 3)
		var regressed *RegressedError
		Expect(errors.As(stream.Confirm(context.Background()), &regressed)).To(BeTrue())
		Expect(stream.ConfirmedAt()).To(BeTemporally("==", started))
		stream.writer.enqueue(kindAdd, nil)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		stream.writer.run(ctx)
		Expect(logEnd(log)).To(BeEquivalentTo(3), "nothing is appended to a rejected log")
	})

	ginkgo.It("starts from the newest snapshot and the records after it", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		stream := runStream(newHookedLog(log), newListFold(), testOptions("a"))
		for value := range 1000 {
			log.Append(testStream, [][]byte{rawRecord("filler", uint64(value+1), logEnd(log)-1, value)})
		}
		Eventually(stream.Next, eventuallyTimeout, pollInterval).Should(BeNumerically(">", 1000))
		stream.ProposeSnapshot()
		Eventually(func() infra.Offset { return stream.snapshots.newestSeen(stream) }, eventuallyTimeout, pollInterval).Should(BeNumerically(">=", 1000))
		client := newHookedLog(log)
		requested := atomic.Int64{}
		client.hook(nil, func(_ infra.Offset, limit int) error { requested.Add(int64(limit)); return nil })
		late := New(client, testStream, newListFold(), testOptions("late"))
		Expect(late.poll(context.Background())).To(Succeed())
		Expect(valuesOf(late)).To(Equal(valuesOf(stream)))
		Expect(requested.Load()).To(BeNumerically("<=", 2*initialTailSpan))
	})

	ginkgo.It("starts from a snapshot that was appended late and the records after the offset it covers, and fails once some of them expired", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		fill := func(from, to int) {
			for value := from; value < to; value++ {
				log.Append(testStream, [][]byte{rawRecord("filler", uint64(value+1), logEnd(log)-1, value)})
			}
		}
		start := func() (*Stream[*listFold], error) {
			stream := New(newHookedLog(log), testStream, newListFold(), testOptions("a"))
			return stream, stream.poll(context.Background())
		}
		fill(0, 100)
		early, err := start()
		Expect(err).NotTo(HaveOccurred())
		taken, err := early.state.freeze().encode()
		Expect(err).NotTo(HaveOccurred())
		fill(100, 100+2*initialTailSpan)
		whole, err := start()
		Expect(err).NotTo(HaveOccurred())
		late, err := Marshal(Entry{Writer: "b", Seq: 1, Kind: KindSnapshot, Body: taken.body, Since: logEnd(log) - 1})
		Expect(err).NotTo(HaveOccurred())
		log.Append(testStream, [][]byte{late})
		log.Expire(testStream, 50)
		restored, err := start()
		Expect(err).NotTo(HaveOccurred())
		Expect(valuesOf(restored)).To(Equal(valuesOf(whole)))
		log.Expire(testStream, 200)
		_, err = start()
		var missing *NoSnapshotError
		Expect(errors.As(err, &missing)).To(BeTrue())
	})

	ginkgo.It("fails to start when records expired and no snapshot covers them", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		for value := range 10 {
			log.Append(testStream, [][]byte{rawRecord("filler", uint64(value+1), 0, value)})
		}
		log.Expire(testStream, 5)
		stream := New(newHookedLog(log), testStream, newListFold(), testOptions("a"))
		var missing *NoSnapshotError
		Expect(errors.As(stream.poll(context.Background()), &missing)).To(BeTrue())
		Expect(stream.Booted()).To(BeFalse())
	})

	ginkgo.It("counts snapshots that differ from the local state", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		stream := runStream(newHookedLog(log), newListFold(), testOptions("a"))
		propose(stream, 1)
		body, _ := Marshal(snapshot{AsOf: 1, State: []byte{1}})
		forged, _ := Marshal(Entry{Writer: "b", Seq: 1, Kind: KindSnapshot, Body: body, Since: 1})
		log.Append(testStream, [][]byte{forged})
		Eventually(stream.counters.divergences.Get, eventuallyTimeout, pollInterval).Should(Equal(uint64(1)))
		Expect(valuesOf(stream)).To(Equal([]int{1}))
	})

	ginkgo.It("writes a snapshot when the newest one reaches SnapshotAge, before that one can expire", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		options := testOptions("a")
		options.SnapshotAge = 20 * time.Millisecond
		stream := runStream(newHookedLog(log), newListFold(), options)
		propose(stream, 1)
		Eventually(func() infra.Offset { return stream.snapshots.newestSeen(stream) }, eventuallyTimeout, pollInterval).Should(BeNumerically(">", 2))
		log.Expire(testStream, logEnd(log)-2)
		late := runStream(newHookedLog(log), newListFold(), testOptions("late"))
		Eventually(func() []int { return valuesOf(late) }, eventuallyTimeout, pollInterval).Should(Equal([]int{1}))
	})

	ginkgo.It("finds a fence after a snapshot, so that verifying the last record reads a small one", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		stream := runStream(newHookedLog(log), newListFold(), testOptions("a"))
		propose(stream, 1)
		stream.ProposeSnapshot()
		Eventually(stream.Next, eventuallyTimeout, pollInterval).Should(BeEquivalentTo(4))
		var last Entry
		records := log.Records(testStream)
		Expect(Unmarshal(records[len(records)-1].Data, &last)).To(Succeed())
		Expect(last.Kind).To(Equal(KindFence))
		Expect(log.Appends()).To(Equal(2))
	})

	ginkgo.It("removes the state of idle writers, and rejects delayed records of those writers", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		fold := newListFold()
		fold.window = 20
		stream := runStream(newHookedLog(log), fold, testOptions("a"))
		late := rawRecord("idle", 1, 0, 1)
		log.Append(testStream, [][]byte{late})
		for value := range 200 {
			log.Append(testStream, [][]byte{rawRecord(fmt.Sprint("w", value), 1, logEnd(log)-1, 1000+value)})
		}
		log.Append(testStream, [][]byte{late})
		Eventually(func() infra.Offset { return stream.Next() }, eventuallyTimeout, pollInterval).Should(BeNumerically(">", 202))
		stream.Read(func(f *listFold) { Expect(f.count(1)).To(Equal(1)) })
		stream.ProposeSnapshot()
		stream.mu.RLock()
		defer stream.mu.RUnlock()
		Expect(len(stream.state.writers)).To(BeNumerically("<=", 2*20))
	})
})
