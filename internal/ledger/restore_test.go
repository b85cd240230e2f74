package ledger_test

import (
	"context"
	"errors"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/ledger"
)

var _ = Describe("The ledger of a store that comes back from an older copy", func() {
	ctx := context.Background()
	var log *fakes.KeyedLog
	grant := func(group string, members ...string) *ledger.Record {
		record := &ledger.Record{Group: group, Service: "s", Model: "m", Domain: "d"}
		for _, id := range members {
			record.Members = append(record.Members, ledger.Member{ID: id, Incarnation: 5})
		}
		return record
	}
	newLedger := func() *ledger.Ledger { return ledger.New(log, slog.New(slog.DiscardHandler), func() {}) }
	// reload reads the topic anew, as a follower does at its start and after a change of the era.
	reload := func(l *ledger.Ledger) {
		page, err := log.Newest(ctx, ledger.Topic, "")
		Expect(err).NotTo(HaveOccurred())
		l.Apply(keyed.Batch{Records: page.Records, Complete: true, End: page.End, Era: page.Era, Restored: page.Era > l.Load().Era})
	}
	// follow reads what was appended since.
	follow := func(l *ledger.Ledger) {
		page, err := log.Read(ctx, ledger.Topic, l.Load().End, 0)
		Expect(err).NotTo(HaveOccurred())
		l.Apply(keyed.Batch{Records: page.Records, End: page.End, Era: page.Era})
	}
	propose := func(l *ledger.Ledger, grants ...*ledger.Record) {
		Expect(l.Propose(ctx, l.Load(), grants, nil)).To(Succeed())
	}
	var planner, other *ledger.Ledger
	BeforeEach(func() {
		log = fakes.NewKeyedLog()
		planner, other = newLedger(), newLedger()
		reload(planner)
		propose(planner, grant("g", "a", "b"))
		reload(other)
	})

	It("keeps a group whose record was acknowledged and lost, until it is written again under its epoch", func() {
		propose(planner, grant("h", "c"))
		epoch := planner.Load().Groups["h"].Epoch
		log.Restore(1)
		reload(planner)
		Expect(planner.Load().Groups).To(HaveKey("h"))
		Expect(planner.Load().Forgotten).To(Equal(map[string]bool{"h": true}))
		Expect(planner.Load().Forgotten).NotTo(HaveKey("g"), "the copy holds it")
		propose(planner, planner.Load().Groups["h"].Restored())
		Expect(planner.Load().Forgotten).To(BeEmpty())
		Expect(planner.Load().Groups["h"].Epoch).To(Equal(epoch))
		fresh := newLedger()
		reload(fresh)
		Expect(fresh.Load().Groups["h"].Epoch).To(Equal(epoch), "at a daemon that starts later")
	})

	It("grants later epochs than before although offsets are assigned again", func() {
		propose(planner, grant("h", "c"))
		lost := planner.Load().Groups["h"].Epoch
		log.Restore(2)
		reload(planner)
		propose(planner, grant("i", "d"))
		Expect(planner.Load().Groups["i"].Epoch).To(BeNumerically(">", lost))
	})

	It("gives up a lost record whose member the store has granted since", func() {
		propose(planner, grant("h", "c"))
		log.Restore(1)
		reload(other) // never read the lost record
		propose(other, grant("i", "c"))
		reload(planner)
		Expect(planner.Load().Groups).NotTo(HaveKey("h"))
		Expect(planner.Load().RecordOfMember("c").Group).To(Equal("i"))
	})

	It("gives up a lost record when the store grants its member after it was noticed", func() {
		propose(planner, grant("h", "c"))
		log.Restore(1)
		reload(planner)
		reload(other)
		propose(other, grant("i", "c"))
		err := planner.Propose(ctx, planner.Load(), []*ledger.Record{planner.Load().Groups["h"].Restored()}, nil)
		var conflict *keyed.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		follow(planner)
		Expect(planner.Load().Groups).NotTo(HaveKey("h"))
		Expect(planner.Load().Forgotten).To(BeEmpty())
	})

	It("voids a proposal that is appended after the change although its offset fits", func() {
		stale := planner.Load()
		log.Restore(0)
		err := planner.Propose(ctx, stale, []*ledger.Record{grant("h", "c")}, nil)
		var changed *ledger.EraChangedError
		Expect(errors.As(err, &changed)).To(BeTrue())
		Expect(planner.Load().Groups).NotTo(HaveKey("h"))
	})

	It("leaves out a group that was deleted before the change, and knows that its record has to be deleted again", func() {
		Expect(planner.Propose(ctx, planner.Load(), nil, []string{"g"})).To(Succeed())
		log.Restore(1)
		reload(planner)
		Expect(planner.Load().Groups).To(BeEmpty())
		Expect(planner.Load().Resurrected).To(HaveKey("g"))
		Expect(planner.Propose(ctx, planner.Load(), nil, []string{"g"})).To(Succeed())
		Expect(planner.Load().Resurrected).To(BeEmpty())
	})

	It("keeps the later of two records when a daemon that knew less writes its own again", func() {
		propose(planner, grant("g", "a", "c"))
		newest := planner.Load().Groups["g"].Epoch
		propose(planner, grant("x", "y"))
		log.Restore(3) // both records of g and that of x
		reload(other)  // knows the first record of g only
		Expect(other.Load().Forgotten).To(HaveKey("g"))
		propose(other, other.Load().Groups["g"].Restored())
		reload(planner)
		Expect(planner.Load().Groups["g"].Epoch).To(Equal(newest))
		Expect(planner.Load().Forgotten).To(HaveKey("g"))
		propose(planner, planner.Load().Groups["g"].Restored())
		follow(other)
		Expect(other.Load().Groups["g"].Epoch).To(Equal(newest))
		Expect(other.Load().Groups["g"].Has("c")).To(BeTrue())
	})

	It("keeps the later record of two also when the older one is written after the change was noticed", func() {
		propose(planner, grant("g", "a", "c"))
		newest := planner.Load().Groups["g"].Epoch
		log.Restore(2)
		reload(planner)
		reload(other)
		propose(other, other.Load().Groups["g"].Restored())
		follow(planner)
		Expect(planner.Load().Groups["g"].Epoch).To(Equal(newest))
		Expect(planner.Load().Forgotten).To(HaveKey("g"))
	})

	It("does the same when it happens twice in a row", func() {
		propose(planner, grant("h", "c"))
		log.Restore(1)
		reload(planner)
		propose(planner, planner.Load().Groups["h"].Restored())
		epoch := planner.Load().Groups["h"].Epoch
		log.Restore(1)
		log.Restore(0)
		reload(planner)
		Expect(planner.Load().Era).To(Equal(uint64(3)))
		Expect(planner.Load().Forgotten).To(HaveKey("h"))
		Expect(planner.Load().Groups["h"].Epoch).To(Equal(epoch))
	})

	It("ignores records of an earlier era that arrive late", func() {
		old, err := log.Read(ctx, ledger.Topic, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		log.Restore(1)
		reload(planner)
		propose(planner, grant("h", "a"))
		planner.Apply(keyed.Batch{Records: old.Records, End: old.End, Era: old.Era})
		Expect(planner.Load().Groups).NotTo(HaveKey("g"))
		Expect(planner.Load().RecordOfMember("a").Group).To(Equal("h"))
	})

	It("counts the time in the era from the first read, and anew after each change", func() {
		Expect(newLedger().EraAge(time.Now())).To(BeZero())
		later := time.Now().Add(time.Minute)
		Expect(planner.EraAge(later)).To(BeNumerically(">", 50*time.Second))
		time.Sleep(20 * time.Millisecond)
		before := planner.EraAge(later)
		log.Restore(0)
		reload(planner)
		Expect(planner.EraAge(later)).To(BeNumerically("<", before))
	})
})
