package keyed_test

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/keyed"
)

var _ = Describe("A mirror", func() {
	ctx := context.Background()
	var mirror *keyed.Mirror
	var apply func(keyed.Batch)
	BeforeEach(func() {
		mirror = keyed.NewMirror()
		apply = mirror.Follow("keyed.t", keyed.LongPoll(time.Second, time.Second), nil, func(keyed.Batch) {})
		apply(keyed.Batch{Complete: true, End: 5, StoreReadAt: time.Now(), Records: []keyed.Record{{Key: "a", Value: []byte("1"), Offset: 3}}})
		apply(keyed.Batch{End: 7, StoreReadAt: time.Now(), Records: []keyed.Record{{Key: "b", Value: []byte("2"), Offset: 5}, {Key: "a", Offset: 6}}})
	})

	It("returns the newest record of each key", func() {
		page, err := mirror.Newest(ctx, "keyed.t", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(page.End).To(Equal(uint64(7)))
		Expect(page.Records).To(ConsistOf(keyed.Record{Key: "b", Value: []byte("2"), Offset: 5}))
	})

	It("returns the records from an offset on, and an ExpiredError if it does not have them", func() {
		page, err := mirror.Read(ctx, "keyed.t", 6, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(ConsistOf(keyed.Record{Key: "a", Offset: 6}))
		_, err = mirror.Read(ctx, "keyed.t", 4, 0)
		var expired *keyed.ExpiredError
		Expect(errors.As(err, &expired)).To(BeTrue())
	})

	It("wakes a waiting reader", func() {
		go func() {
			time.Sleep(20 * time.Millisecond)
			apply(keyed.Batch{End: 8, StoreReadAt: time.Now(), Records: []keyed.Record{{Key: "c", Value: []byte("3"), Offset: 7}}})
		}()
		page, err := mirror.Read(ctx, "keyed.t", 7, 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveLen(1))
	})

	It("serves a topic that was last confirmed before a long poll in progress", func() {
		apply(keyed.Batch{End: 7, StoreReadAt: time.Now().Add(-2 * time.Second)})
		_, err := mirror.Read(ctx, "keyed.t", 7, 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("stops serving when two daemons read only from each other and none reads the store", func() {
		log := fakes.NewKeyedLog()
		Expect(log.Put(ctx, "keyed.t", keyed.Record{Key: "a", Value: []byte("1")})).To(Succeed())
		mirrors := []*keyed.Mirror{keyed.NewMirror(), keyed.NewMirror()}
		pacing := keyed.Interval(20*time.Millisecond, time.Second)
		var storeCut atomic.Bool // once set, each daemon reads only through the other
		for i, own := range mirrors {
			other := mirrors[1-i]
			reader := func() keyed.Log {
				if storeCut.Load() {
					return other
				}
				return nil
			}
			through := &keyed.Fallback{Log: log, Reader: reader, Peer: func() keyed.Log { return nil }}
			f := keyed.NewFollower(through, "keyed.t", pacing, own.Follow("keyed.t", pacing, nil, func(keyed.Batch) {}), slog.New(slog.DiscardHandler))
			run, cancel := context.WithCancel(ctx)
			DeferCleanup(cancel)
			go f.Run(run)
			Eventually(f.Synced).Should(BeTrue())
		}
		storeCut.Store(true)
		time.Sleep(50 * time.Millisecond)
		Expect(log.Put(ctx, "keyed.t", keyed.Record{Key: "b", Value: []byte("2")})).To(Succeed())
		recordCount := func() int {
			page, _ := mirrors[0].Newest(ctx, "keyed.t", "")
			return len(page.Records)
		}
		Eventually(recordCount, "4s", "20ms").Should(Equal(2), "the store is read once the mirrors are too old")
	})

	It("serves the other daemons while its own long poll is in progress, without further reads of the store", func() {
		log := fakes.NewKeyedLog()
		Expect(log.Put(ctx, "keyed.t", keyed.Record{Key: "a", Value: []byte("1")})).To(Succeed())
		const wait = 1700 * time.Millisecond // longer than the maximum age that is added to it
		pacing := keyed.LongPoll(wait, time.Second)
		follow := func(from keyed.Log, own *keyed.Mirror) {
			f := keyed.NewFollower(from, "keyed.t", pacing, own.Follow("keyed.t", pacing, nil, func(keyed.Batch) {}), slog.New(slog.DiscardHandler))
			run, cancel := context.WithCancel(ctx)
			DeferCleanup(cancel)
			go f.Run(run)
			Eventually(f.Synced).Should(BeTrue())
		}
		own := keyed.NewMirror()
		follow(&lateLog{Log: log, delay: 30 * time.Millisecond}, own)
		fallbackStore := fakes.NewKeyedLog()
		Expect(fallbackStore.Put(ctx, "keyed.t", keyed.Record{Key: "a", Value: []byte("1")})).To(Succeed())
		before := fallbackStore.Calls()
		for range 9 { // at different points of the long poll
			time.Sleep(200 * time.Millisecond)
			follow(&keyed.Fallback{Log: fallbackStore, Reader: func() keyed.Log { return own }, Peer: func() keyed.Log { return nil }}, keyed.NewMirror())
		}
		time.Sleep(wait)
		Expect(log.Put(ctx, "keyed.t", keyed.Record{Key: "b", Value: []byte("2")})).To(Succeed(), "ends all long polls")
		time.Sleep(3 * wait)
		Expect(fallbackStore.Calls()).To(Equal(before))
	})

	// Guards against readers that take an old write, which the store carries out late, for a later one.
	It("serves no record that was written before the latest one, and passes on a deleted record with its deletion", func() {
		filtered := keyed.NewMirror()
		pacing := keyed.Interval(10*time.Millisecond, time.Second)
		applyFiltered := filtered.Follow("keyed.t", pacing, newsOnly{}, func(keyed.Batch) {})
		put := func(complete bool, end uint64, records ...keyed.Record) {
			applyFiltered(keyed.Batch{Complete: complete, End: end, Records: records, StoreReadAt: time.Now()})
		}
		put(true, 1, keyed.Record{Key: "a", Value: []byte("1")}, keyed.Record{Key: "b", Value: []byte("1")})
		put(false, 3, keyed.Record{Key: "a", Value: []byte("same"), Offset: 1}, keyed.Record{Key: "b", Value: []byte("late"), Offset: 2})
		put(false, 5, keyed.Record{Key: "a", Offset: 3}, keyed.Record{Key: "a", Value: []byte("late"), Offset: 4})
		page, err := filtered.Read(ctx, "keyed.t", 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(Equal([]keyed.Record{{Key: "a", Value: []byte("same"), Offset: 3}, {Key: "a", Offset: 3}}))
		newest := func() []keyed.Record {
			page, err := filtered.Newest(ctx, "keyed.t", "")
			Expect(err).NotTo(HaveOccurred())
			return page.Records
		}
		Expect(newest()).To(Equal([]keyed.Record{{Key: "b", Value: []byte("1")}}))
		put(true, 6, keyed.Record{Key: "a", Value: []byte("late"), Offset: 4}, keyed.Record{Key: "b", Value: []byte("late"), Offset: 2})
		Expect(newest()).To(Equal([]keyed.Record{{Key: "b", Value: []byte("1")}}))
	})

	It("passes on only the records that its filter finds significant, and lets readers continue behind the others", func() {
		filtered := keyed.NewMirror()
		pacing := keyed.LongPoll(time.Second, time.Second)
		applyFiltered := filtered.Follow("keyed.t", pacing, newsOnly{}, func(keyed.Batch) {})
		applyFiltered(keyed.Batch{Complete: true, End: 1, Records: []keyed.Record{{Key: "a", Value: []byte("1")}}, StoreReadAt: time.Now()})
		applyFiltered(keyed.Batch{End: 3, StoreReadAt: time.Now(), Records: []keyed.Record{{Key: "a", Value: []byte("same"), Offset: 1}, {Key: "b", Value: []byte("2"), Offset: 2}}})
		page, err := filtered.Read(ctx, "keyed.t", 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(Equal([]keyed.Record{{Key: "b", Value: []byte("2"), Offset: 2}}))
		applyFiltered(keyed.Batch{End: 9, StoreReadAt: time.Now(), Records: []keyed.Record{{Key: "a", Value: []byte("same"), Offset: 8}}})
		started := time.Now()
		page, err = filtered.Read(ctx, "keyed.t", 3, 50*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(BeEmpty())
		Expect(page.Next).To(Equal(uint64(9)))
		Expect(time.Since(started)).To(BeNumerically(">=", 50*time.Millisecond), "a heartbeat wakes no reader")
		page, err = filtered.Newest(ctx, "keyed.t", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(ContainElement(HaveField("Value", []byte("same"))))
		recorder := &batchRecorder{}
		f := keyed.NewFollower(filtered, "keyed.t", keyed.Interval(10*time.Millisecond, time.Second), recorder.apply, slog.New(slog.DiscardHandler))
		run, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		go f.Run(run)
		Eventually(f.Synced).Should(BeTrue())
		applyFiltered(keyed.Batch{End: 12, StoreReadAt: time.Now(), Records: []keyed.Record{{Key: "a", Value: []byte("same"), Offset: 11}}})
		Eventually(recorder.end).Should(Equal(uint64(12)), "it would otherwise read the heartbeats again when it reads from the store")
	})

	It("refuses reads of a topic that was not confirmed recently", func() {
		apply(keyed.Batch{End: 7, StoreReadAt: time.Now().Add(-time.Minute)})
		_, err := mirror.Read(ctx, "keyed.t", 7, 0)
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("A fallback log", func() {
	ctx := context.Background()
	It("reads from the reader, then the store, then any daemon that reaches the store", func() {
		reader, store, peer := fakes.NewKeyedLog(), fakes.NewKeyedLog(), fakes.NewKeyedLog()
		log := &keyed.Fallback{Log: store, Reader: func() keyed.Log { return reader }, Peer: func() keyed.Log { return peer }}
		_, err := log.Newest(ctx, "keyed.t", "")
		Expect(err).NotTo(HaveOccurred())
		Expect([]int{reader.Calls(), store.Calls(), peer.Calls()}).To(Equal([]int{1, 0, 0}))
		reader.SetDown(true)
		_, err = log.Newest(ctx, "keyed.t", "")
		Expect(err).NotTo(HaveOccurred())
		Expect([]int{reader.Calls(), store.Calls(), peer.Calls()}).To(Equal([]int{2, 1, 0}))
		store.SetDown(true)
		_, err = log.Newest(ctx, "keyed.t", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(peer.Calls()).To(Equal(1))
	})

	It("limits the wait at the store to the time that the reader has left over", func() {
		reader, store := &hungLog{Log: fakes.NewKeyedLog()}, fakes.NewKeyedLog()
		log := &keyed.Fallback{Log: store, Reader: func() keyed.Log { return reader }, Peer: func() keyed.Log { return nil }}
		const wait = time.Second
		call, cancel := context.WithTimeout(ctx, wait+600*time.Millisecond)
		defer cancel()
		_, err := log.Read(call, "keyed.t", 0, wait)
		Expect(err).NotTo(HaveOccurred(), "the store is healthy")
	})

	It("returns the store's error when no other daemon is available", func() {
		store := fakes.NewKeyedLog()
		store.SetDown(true)
		log := &keyed.Fallback{Log: store, Reader: func() keyed.Log { return nil }, Peer: func() keyed.Log { return nil }}
		_, err := log.Newest(ctx, "keyed.t", "")
		var refused *keyed.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
	})
})

// lateLog delays the answers of the store.
type lateLog struct {
	keyed.Log
	delay time.Duration
}

func (l *lateLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (keyed.Page, error) {
	page, err := l.Log.Read(ctx, topic, from, wait)
	time.Sleep(l.delay)
	return page, err
}

// hungLog never answers.
type hungLog struct{ keyed.Log }

func (l *hungLog) Read(ctx context.Context, _ string, _ uint64, _ time.Duration) (keyed.Page, error) {
	<-ctx.Done()
	return keyed.Page{}, ctx.Err()
}

// newsOnly takes all records for news but those with the values "same" and "late".
type newsOnly struct{}

func (newsOnly) Reset() {}

func (newsOnly) Classify(record keyed.Record) keyed.Significance {
	switch string(record.Value) {
	case "same":
		return keyed.Repeat
	case "late":
		return keyed.Outdated
	default:
		return keyed.News
	}
}
