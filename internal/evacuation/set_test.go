package evacuation_test

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/evacuation"
	"github.com/plantainmux/plantainmux/internal/keyed"
)

var _ = Describe("The set of evacuated data centres", func() {
	const prefix = "out/"
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	imposed := func(name string, offset uint64) keyed.Record {
		return keyed.Record{Key: prefix + name, Value: []byte("{}"), Offset: offset}
	}
	withdrawn := func(name string, offset uint64) keyed.Record { return keyed.Record{Key: prefix + name, Offset: offset} }
	// news is a batch of appended records, whole the newest record of each key.
	news := func(era uint64, records ...keyed.Record) keyed.Batch {
		return keyed.Batch{Records: records, Era: era, End: records[len(records)-1].Offset + 1}
	}
	whole := func(era, end uint64, records ...keyed.Record) keyed.Batch {
		return keyed.Batch{Records: records, Era: era, End: end, Complete: true}
	}
	restored := func(era, end uint64, records ...keyed.Record) keyed.Batch {
		batch := whole(era, end, records...)
		batch.Restored = true
		return batch
	}
	report := func(name string, era, offset uint64, evacuated bool) evacuation.Report {
		return evacuation.Report{DataCentre: name, Ordinal: keyed.Position{Era: era, Offset: offset}.Ordinal(), Evacuated: evacuated}
	}
	var set *evacuation.Set
	BeforeEach(func() {
		set = evacuation.NewSet(prefix)
		Expect(set.Apply(whole(0, 1, keyed.Record{Key: "config", Value: []byte("{}")}), at(0))).To(BeEmpty())
	})

	It("follows imposition, withdrawal and imposition again, also within one batch", func() {
		Expect(set.Apply(news(0, imposed("x", 1)), at(0))).To(ConsistOf(
			evacuation.Change{DataCentre: "x", Kind: evacuation.Started, Position: keyed.Position{Offset: 1}, Source: evacuation.FromStore}))
		Expect(set.Evacuated("x")).To(BeTrue())
		Expect(set.WithdrawnAt("x")).To(BeZero())
		set.Apply(news(0, withdrawn("x", 2)), at(50))
		Expect(set.Evacuated("x")).To(BeFalse())
		Expect(set.WithdrawnAt("x")).To(Equal(at(50)))
		Expect(set.Apply(news(0, imposed("x", 3), withdrawn("x", 4), imposed("x", 5)), at(70))).To(HaveLen(3))
		Expect(set.Evacuated("x")).To(BeTrue())
		Expect(set.WithdrawnAt("x")).To(Equal(at(70)))
	})

	It("has all data centres at once, and none without a name or under another key", func() {
		set.Apply(news(0, imposed("x", 1), imposed("y", 2), imposed("z", 3), imposed("", 4), keyed.Record{Key: "other", Value: []byte("{}"), Offset: 5}), at(0))
		Expect(set.Count()).To(Equal(3))
		Expect(set.Evacuated("")).To(BeFalse())
		Expect(evacuation.NewSet("").Apply(news(0, keyed.Record{Key: "x", Value: []byte("{}")}), at(0))).To(BeEmpty(), "without a prefix there are no records")
	})

	It("stays evacuated for as long as nothing is read or told", func() {
		set.Apply(news(0, imposed("x", 1)), at(0))
		Expect(set.Settle(at(0).Add(1000 * time.Hour))).To(BeEmpty())
		Expect(set.Evacuated("x")).To(BeTrue())
	})

	It("takes a missing key for a deletion when history was lost", func() {
		set.Apply(news(0, imposed("x", 1), imposed("y", 2)), at(0))
		set.Apply(whole(0, 9, imposed("y", 2), imposed("z", 8)), at(10))
		Expect(set.Evacuated("x")).To(BeFalse())
		Expect(set.Evacuated("y")).To(BeTrue())
		Expect(set.Evacuated("z")).To(BeTrue())
	})

	Describe("when the store comes back from an older copy", func() {
		It("keeps an evacuation that the copy lacks for 5 s, then lets the copy hold", func() {
			set.Apply(news(0, imposed("x", 5)), at(0))
			Expect(set.Apply(restored(1, 9), at(1000))).To(ConsistOf(HaveField("Kind", evacuation.Held)), "other records may have been appended since")
			set.Settle(at(5999))
			Expect(set.Evacuated("x")).To(BeTrue())
			Expect(set.Settle(at(6000))).To(ConsistOf(HaveField("Source", evacuation.FromCopy)))
			Expect(set.Evacuated("x")).To(BeFalse())
		})

		It("keeps a withdrawal that the copy lacks for 5 s, then lets the copy hold", func() {
			set.Apply(news(0, imposed("x", 5), withdrawn("x", 6)), at(0))
			set.Apply(restored(1, 6, imposed("x", 5)), at(1000))
			set.Apply(whole(1, 7, imposed("x", 5)), at(2000))
			Expect(set.Evacuated("x")).To(BeFalse())
			set.Settle(at(6000))
			Expect(set.Evacuated("x")).To(BeTrue())
		})

		It("believes records of the new era at once, whether read alone or with the copy", func() {
			set.Apply(news(0, imposed("x", 5), imposed("y", 6), withdrawn("y", 7)), at(0))
			set.Apply(restored(1, 3), at(1000))
			set.Apply(news(1, imposed("y", 3), imposed("x", 4)), at(1500))
			set.Settle(at(9000))
			Expect(set.Evacuated("x")).To(BeTrue(), "written again")
			Expect(set.Evacuated("y")).To(BeTrue())
			set.Apply(news(1, withdrawn("x", 5)), at(9000))
			Expect(set.Evacuated("x")).To(BeFalse())
			set.Apply(restored(2, 9, imposed("x", 8)), at(9100))
			Expect(set.Evacuated("x")).To(BeTrue(), "no copy has a record beyond the withdrawal that is older than it")
		})

		It("believes the first record that is written after an empty copy", func() {
			set.Apply(news(0, imposed("x", 5)), at(0))
			set.Apply(restored(1, 0), at(1000))
			set.Settle(at(6000))
			Expect(set.Evacuated("x")).To(BeFalse())
			Expect(set.Reports(at(6000))).To(BeEmpty(), "others could not tell it from a record")
			set.Apply(news(1, imposed("x", 0)), at(7000))
			Expect(set.Evacuated("x")).To(BeTrue())
		})

		It("believes at once what the copy says of a data centre of which nothing is known", func() {
			set.Apply(restored(1, 3, imposed("x", 2)), at(0))
			Expect(set.Evacuated("x")).To(BeTrue())
		})

		It("stays with what it knows when the store comes back from copies twice in a row", func() {
			set.Apply(news(0, imposed("x", 5)), at(0))
			set.Apply(restored(1, 3), at(1000))
			set.Apply(restored(2, 2), at(4000))
			set.Settle(at(8999))
			Expect(set.Evacuated("x")).To(BeTrue())
			set.Settle(at(9000))
			Expect(set.Evacuated("x")).To(BeFalse())
		})

		It("follows the others from the copy that it started with, and passes that on to nobody", func() {
			late := evacuation.NewSet(prefix)
			late.Apply(whole(1, 3), at(0))
			late.Merge([]evacuation.Report{report("x", 0, 7, true)}, at(100))
			Expect(late.Evacuated("x")).To(BeTrue())
			Expect(late.Reports(at(100))).To(BeEmpty(), "daemons that start by turns would keep it alive")
			late.Settle(at(5000))
			Expect(late.Evacuated("x")).To(BeFalse())
			late.Merge([]evacuation.Report{report("x", 0, 7, true)}, at(5100))
			Expect(late.Evacuated("x")).To(BeFalse())
		})

		It("holds against daemons that tell of the copy before this one has read it", func() {
			set.Apply(news(0, imposed("x", 5), withdrawn("x", 6)), at(0))
			set.Merge([]evacuation.Report{report("x", 1, 5, true)}, at(1000))
			Expect(set.Evacuated("x")).To(BeFalse())
			set.Merge([]evacuation.Report{report("x", 1, 9, true)}, at(2000))
			Expect(set.Evacuated("x")).To(BeTrue())
		})
	})

	Describe("told by other daemons", func() {
		It("changes what this daemon has not read, in the order of the positions", func() {
			set.Merge([]evacuation.Report{report("x", 0, 4, true)}, at(0))
			Expect(set.Evacuated("x")).To(BeTrue())
			set.Merge([]evacuation.Report{report("x", 0, 6, false)}, at(10))
			set.Merge([]evacuation.Report{report("x", 0, 4, true)}, at(20))
			Expect(set.Evacuated("x")).To(BeFalse(), "a late datagram")
			Expect(set.WithdrawnAt("x")).To(Equal(at(10)))
			set.Apply(news(0, imposed("x", 4), imposed("y", 5)), at(30))
			Expect(set.Evacuated("x")).To(BeFalse(), "the store is read later than the other daemon told")
		})

		It("tells since when and from where each evacuation is known, from the first news on", func() {
			set.Merge([]evacuation.Report{report("y", 0, 5, true)}, at(0))
			set.Apply(news(0, imposed("x", 4), imposed("y", 5), imposed("z", 6), withdrawn("z", 7)), at(30))
			set.Apply(news(0, imposed("x", 8)), at(900))
			Expect(set.InForce()).To(Equal([]evacuation.InForce{
				{DataCentre: "x", Since: at(30), Source: evacuation.FromStore}, {DataCentre: "y", Since: at(0), Source: evacuation.FromDaemon},
			}), "a planner that took old evacuations for new ones would change groups at once")
		})

		It("never brings back an evacuation that was withdrawn before this daemon started", func() {
			late := evacuation.NewSet(prefix)
			late.Apply(whole(0, 9), at(0))
			late.Merge([]evacuation.Report{report("x", 0, 5, true)}, at(0))
			Expect(late.Evacuated("x")).To(BeFalse())
		})

		It("reports what is in force, and for 10 s what was withdrawn, in less than 60 bytes each", func() {
			name := "a-data-centre-with-a-name-of-46-bytes-exactly-"
			Expect(set.Reports(at(0))).To(BeEmpty())
			set.Apply(news(7, imposed("x", 1<<31), imposed(name, 1<<31+1), imposed(name+"+", 1<<31+2)), at(0))
			Expect(set.Reports(at(60000))).To(ConsistOf(report("x", 7, 1<<31, true), report(name, 7, 1<<31+1, true)))
			data, err := cbor.Marshal(set.Reports(at(0))[0])
			Expect(err).NotTo(HaveOccurred())
			Expect(len(data)).To(BeNumerically("<", 60))
			set.Apply(news(7, withdrawn("x", 1<<31+3), withdrawn(name, 1<<31+4), withdrawn(name+"+", 1<<31+5)), at(70000))
			Expect(set.Reports(at(79999))).To(ContainElement(report("x", 7, 1<<31+3, false)))
			Expect(set.Reports(at(80000))).To(BeEmpty())
		})

		It("is reduced to the latest report of each data centre", func() {
			a := []evacuation.Report{report("x", 0, 4, true), report("y", 0, 3, true)}
			b := []evacuation.Report{report("x", 0, 6, false)}
			Expect(evacuation.Latest(a, b)).To(ConsistOf(b[0], a[1]))
			Expect(evacuation.Latest(b, a)).To(ConsistOf(b[0], a[1]))
		})
	})
})
