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

// inBackground proposes and returns the failure when ctx ends.
func inBackground(ctx context.Context, s *Stream[*listFold], value int) <-chan error {
	failed := make(chan error, 1)
	go func() {
		_, err := s.Propose(ctx, kindAdd, value)
		failed <- err
	}()
	return failed
}

var lostAnswer = &infra.UnknownOutcomeError{Operation: "append", Err: oddValueError{}}

var _ = ginkgo.Describe("A writer", func() {
	var log *fakes.Log
	var client *hookedLog
	var stream *Stream[*listFold]

	ginkgo.BeforeEach(func() {
		log = fakes.NewLog(fakes.DefaultAppendRate)
		client = newHooked(log)
		stream = runStream(client, newListFold(), testOptions("a"))
		propose(stream, 1)
	})

	ginkgo.It("fences an abandoned record, so that its late append takes no effect", func() {
		var mu sync.Mutex
		var late [][]byte
		client.hook(func(_ string, records [][]byte) (infra.Offset, error) {
			mu.Lock()
			defer mu.Unlock()
			late = records
			return 0, lostAnswer
		}, nil)
		ctx, cancel := context.WithCancel(context.Background())
		failed := inBackground(ctx, stream, 2)
		Eventually(func() int { mu.Lock(); defer mu.Unlock(); return len(late) }, waitLong, waitPoll).Should(Equal(1))
		cancel()
		var err *ProposalError
		Expect(errors.As(<-failed, &err)).To(BeTrue())
		Expect(err.Sent).To(BeTrue())
		client.hook(nil, nil)
		// An append that began before may still be running.
		mu.Lock()
		abandoned := late
		mu.Unlock()
		before := logEnd(log)
		Eventually(func() uint64 { return stream.counters.fences.Get() }, waitLong, waitPoll).Should(Equal(uint64(1)))
		Eventually(stream.Next, waitLong, waitPoll).Should(BeNumerically(">", before))

		log.Append(testStream, abandoned)
		propose(stream, 3)
		Expect(valuesOf(stream)).To(Equal([]int{1, 3}))
	})

	ginkgo.It("never sends a proposal that it reported as not sent", func() {
		tries := atomic.Int64{}
		client.hook(func(string, [][]byte) (infra.Offset, error) {
			tries.Add(1)
			return 0, &infra.UnavailableError{Operation: "append", Err: oddValueError{}}
		}, nil)
		ctx, cancel := context.WithCancel(context.Background())
		stays := inBackground(context.Background(), stream, 2)
		Eventually(tries.Load, waitLong, waitPoll).Should(BeNumerically(">", 0))
		// The next two share one batch once the first is taken; both wait until then.
		var errs []error
		leaving := []<-chan error{inBackground(ctx, stream, 3), inBackground(ctx, stream, 4)}
		time.Sleep(20 * time.Millisecond)
		cancel()
		for _, failed := range leaving {
			errs = append(errs, <-failed)
		}
		client.hook(nil, nil)
		Eventually(stays, waitLong).Should(Receive(BeNil()))
		propose(stream, 5)
		for _, err := range errs {
			var proposal *ProposalError
			Expect(errors.As(err, &proposal)).To(BeTrue())
			Expect(proposal.Sent).To(BeFalse())
		}
		Expect(valuesOf(stream)).To(Equal([]int{1, 2, 5}))
	})

	ginkgo.It("drops a withdrawn proposal from a batch that it repeats", func() {
		w := stream.writer
		client.hook(func(string, [][]byte) (infra.Offset, error) {
			return 0, &infra.UnavailableError{Operation: "append", Err: oddValueError{}}
		}, nil)
		body, _ := Marshal(2)
		other, _ := Marshal(3)
		w.mu.Lock()
		first := &proposal{kind: kindAdd, body: body, reply: make(chan verdict, 1)}
		second := &proposal{kind: kindAdd, body: other, reply: make(chan verdict, 1)}
		w.queue = append(w.queue, first, second)
		w.mu.Unlock()
		w.wake <- struct{}{}
		// Seen between two tries: nothing is sent, and none is in doubt.
		withdrawn := func() bool {
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
		Eventually(withdrawn, waitLong, time.Millisecond).Should(BeTrue())
		client.hook(nil, nil)
		Eventually(second.reply, waitLong).Should(Receive())
		Expect(valuesOf(stream)).To(Equal([]int{1, 3}))
	})

	ginkgo.It("takes no own record for accepted that a later one overtook", func() {
		w := newWriter(nil, testStream, testOptions("a").withDefaults(), newCounters(metric.NewSet(), testStream))
		w.applied = func() infra.Offset { return 0 }
		overtaken, later := w.enqueue(kindAdd, nil), w.enqueue(kindAdd, nil)
		_, err := w.takeBatch()
		Expect(err).NotTo(HaveOccurred())
		w.settle(2, Receipt{Offset: 1})
		var fenced *FencedError
		Expect(errors.As((<-overtaken.reply).err, &fenced)).To(BeTrue())
		Expect((<-later.reply).err).NotTo(HaveOccurred())
	})

	ginkgo.It("carries all that waits in one append", func() {
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
				Eventually(queued, waitLong, waitPoll).Should(Equal(waiting - 1))
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
				Eventually(appends.Load, waitLong, waitPoll).Should(BeEquivalentTo(1))
			}
		}
		wait.Wait()
		Expect(appends.Load()).To(BeEquivalentTo(2))
	})

	ginkgo.It("ends a proposal whose verdict expired unread, and stops appending it", func() {
		client.hook(func(name string, records [][]byte) (infra.Offset, error) {
			log.Append(name, records)
			return 0, lostAnswer
		}, func(infra.Offset, int) error {
			return &infra.UnavailableError{Operation: "read", Err: oddValueError{}}
		})
		failed := inBackground(context.Background(), stream, 2)
		Eventually(func() infra.Offset { return logEnd(log) }, waitLong, waitPoll).Should(BeNumerically(">", 2))
		other := runStream(newHooked(log), newListFold(), testOptions("b"))
		for value := 100; value < 200; value++ {
			propose(other, value)
		}
		Eventually(func() bool { return other.snapshots.newestSeen(other) > 60 }, waitLong, waitPoll).Should(BeTrue())
		log.Expire(testStream, 50)
		client.hook(nil, nil)

		var err *ProposalError
		var skipped *SkippedError
		var got error
		Eventually(failed, waitLong).Should(Receive(&got))
		Expect(errors.As(got, &err)).To(BeTrue())
		Expect(err.Sent).To(BeTrue())
		Expect(errors.As(got, &skipped)).To(BeTrue())
		propose(stream, 3)
		Eventually(func() []int { return valuesOf(other) }, waitLong, waitPoll).Should(Equal(valuesOf(stream)))
	})
})

func (s *snapshots) newestSeen(stream *Stream[*listFold]) infra.Offset {
	stream.mu.RLock()
	defer stream.mu.RUnlock()
	return s.newest
}

var _ = ginkgo.Describe("A follower", func() {
	ginkgo.It("refuses a log that ends below what it applied, and one that was rewritten", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		stream := runStream(newHooked(log), newListFold(), testOptions("a"))
		for value := 1; value <= 5; value++ {
			propose(stream, value)
		}
		log.Truncate(testStream, 3)
		var regressed *RegressedError
		Eventually(func() bool { return errors.As(stream.Refused(), &regressed) }, waitLong, waitPoll).Should(BeTrue())
		_, err := stream.Propose(context.Background(), kindAdd, 6)
		var failed *ProposalError
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Sent).To(BeFalse())

		for seq := range uint64(10) {
			log.Append(testStream, [][]byte{rawRecord("b", seq+1, 2, int(100+seq))})
		}
		var rewritten *RewrittenError
		Eventually(func() bool { return errors.As(stream.Refused(), &rewritten) }, waitLong, waitPoll).Should(BeTrue())
		Expect(errors.As(stream.Confirm(context.Background()), &rewritten)).To(BeTrue())
		Consistently(func() []int { return valuesOf(stream) }, 100*time.Millisecond, waitPoll).Should(Equal([]int{1, 2, 3, 4, 5}))
		Expect(stream.counters.refused.Get()).To(BeNumerically(">", 0))
		Expect(stream.refusedGauge()).To(Equal(1.0))
	})

	ginkgo.It("counts as confirmed only from the start of a read that reached the log's end", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		client := newHooked(log)
		now := time.Unix(0, 0)
		client.hook(nil, func(infra.Offset, int) error { now = now.Add(time.Hour); return nil })
		options := testOptions("a")
		options.Now = func() time.Time { return now }
		stream := New(client, testStream, newListFold(), options)
		Expect(stream.step(context.Background())).To(Succeed())
		for value := range 2*readLimit + 1 {
			log.Append(testStream, [][]byte{rawRecord("filler", uint64(value+1), logEnd(log)-1, value)})
		}
		before := stream.ConfirmedAt()
		Expect(stream.step(context.Background())).To(Succeed())
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
		Expect(logEnd(log)).To(BeEquivalentTo(3), "nothing is appended to it")
	})

	ginkgo.It("starts from the newest snapshot and the records after it", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		stream := runStream(newHooked(log), newListFold(), testOptions("a"))
		for value := range 1000 {
			log.Append(testStream, [][]byte{rawRecord("filler", uint64(value+1), logEnd(log)-1, value)})
		}
		Eventually(stream.Next, waitLong, waitPoll).Should(BeNumerically(">", 1000))
		stream.ProposeSnapshot()
		Eventually(func() infra.Offset { return stream.snapshots.newestSeen(stream) }, waitLong, waitPoll).Should(BeNumerically(">=", 1000))
		client := newHooked(log)
		asked := atomic.Int64{}
		client.hook(nil, func(_ infra.Offset, limit int) error { asked.Add(int64(limit)); return nil })
		late := New(client, testStream, newListFold(), testOptions("late"))
		Expect(late.step(context.Background())).To(Succeed())
		Expect(valuesOf(late)).To(Equal(valuesOf(stream)))
		Expect(asked.Load()).To(BeNumerically("<=", 2*firstTailSpan))
	})

	ginkgo.It("starts from a snapshot that came late with all records since, or not at all once some expired", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		fill := func(from, to int) {
			for value := from; value < to; value++ {
				log.Append(testStream, [][]byte{rawRecord("filler", uint64(value+1), logEnd(log)-1, value)})
			}
		}
		start := func() (*Stream[*listFold], error) {
			stream := New(newHooked(log), testStream, newListFold(), testOptions("a"))
			return stream, stream.step(context.Background())
		}
		fill(0, 100)
		early, err := start()
		Expect(err).NotTo(HaveOccurred())
		taken, err := early.state.freeze().encode()
		Expect(err).NotTo(HaveOccurred())
		fill(100, 100+2*firstTailSpan)
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

	ginkgo.It("reports a start without a snapshot of what expired", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		for value := range 10 {
			log.Append(testStream, [][]byte{rawRecord("filler", uint64(value+1), 0, value)})
		}
		log.Expire(testStream, 5)
		stream := New(newHooked(log), testStream, newListFold(), testOptions("a"))
		var missing *NoSnapshotError
		Expect(errors.As(stream.step(context.Background()), &missing)).To(BeTrue())
		Expect(stream.Booted()).To(BeFalse())
	})

	ginkgo.It("counts a snapshot that differs from its own state", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		stream := runStream(newHooked(log), newListFold(), testOptions("a"))
		propose(stream, 1)
		body, _ := Marshal(snapshot{AsOf: 1, State: []byte{1}})
		forged, _ := Marshal(Entry{Writer: "b", Seq: 1, Kind: KindSnapshot, Body: body, Since: 1})
		log.Append(testStream, [][]byte{forged})
		Eventually(stream.counters.divergences.Get, waitLong, waitPoll).Should(Equal(uint64(1)))
		Expect(valuesOf(stream)).To(Equal([]int{1}))
	})

	ginkgo.It("writes a snapshot by age, before the last one can expire", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		options := testOptions("a")
		options.SnapshotAge = 20 * time.Millisecond
		stream := runStream(newHooked(log), newListFold(), options)
		propose(stream, 1)
		Eventually(func() infra.Offset { return stream.snapshots.newestSeen(stream) }, waitLong, waitPoll).Should(BeNumerically(">", 2))
		log.Expire(testStream, logEnd(log)-2)
		late := runStream(newHooked(log), newListFold(), testOptions("late"))
		Eventually(func() []int { return valuesOf(late) }, waitLong, waitPoll).Should(Equal([]int{1}))
	})

	ginkgo.It("finds a small record at the end, as it reads that again to check it", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		stream := runStream(newHooked(log), newListFold(), testOptions("a"))
		propose(stream, 1)
		stream.ProposeSnapshot()
		Eventually(stream.Next, waitLong, waitPoll).Should(BeEquivalentTo(4))
		var last Entry
		records := log.Records(testStream)
		Expect(Unmarshal(records[len(records)-1].Data, &last)).To(Succeed())
		Expect(last.Kind).To(Equal(KindFence))
		Expect(log.Appends()).To(Equal(2))
	})

	ginkgo.It("forgets idle writers, and voids the records that would need them", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		fold := newListFold()
		fold.window = 20
		stream := runStream(newHooked(log), fold, testOptions("a"))
		late := rawRecord("idle", 1, 0, 1)
		log.Append(testStream, [][]byte{late})
		for value := range 200 {
			log.Append(testStream, [][]byte{rawRecord(fmt.Sprint("w", value), 1, logEnd(log)-1, 1000+value)})
		}
		log.Append(testStream, [][]byte{late})
		Eventually(func() infra.Offset { return stream.Next() }, waitLong, waitPoll).Should(BeNumerically(">", 202))
		stream.Read(func(f *listFold) { Expect(f.count(1)).To(Equal(1)) })
		stream.ProposeSnapshot()
		stream.mu.RLock()
		defer stream.mu.RUnlock()
		Expect(len(stream.state.writers)).To(BeNumerically("<=", 2*20))
	})
})
