package evidence_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/evidence"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/order"
)

// snapshotRecord mirrors the encoding of a snapshot record of package logstream.
type snapshotRecord struct {
	AsOf    infra.Offset      `cbor:"1,keyasint"`
	Writers map[string]uint64 `cbor:"2,keyasint"`
	State   []byte            `cbor:"3,keyasint"`
}

// snapshotWithSharedVM returns a snapshot in which VM a belongs to two groups.
func snapshotWithSharedVM() snapshotRecord {
	type state struct {
		Groups map[fleet.FencingNumber]*group.Record `json:"groups"`
	}
	record := func(fencing fleet.FencingNumber) *group.Record {
		return &group.Record{Group: fleet.Group{Fencing: fencing, Members: []fleet.VMID{"a"}}}
	}
	data, err := logstream.Marshal(state{Groups: map[fleet.FencingNumber]*group.Record{1: record(1), 2: record(2)}})
	Expect(err).NotTo(HaveOccurred())
	return snapshotRecord{AsOf: 1, State: data}
}

// writeTwoRuns writes records of one key that was run by two claims.
func writeTwoRuns(w *streamWriter) {
	key := order.NewKey("merchants", "orders", "k2")
	slot := order.StreamName(order.SlotOf(key))
	for at := int64(1_000); at <= 2_000; at += 1_000 {
		claim := w.write(slot, at, order.KindClaim, order.Claim{Key: key, LifetimeMillis: 1_000_000})
		w.write(slot, at+1, order.KindOutcome, order.Outcome{Key: key, Claim: claim, State: order.Ran})
	}
}

// writeBothOutcomes writes records that one claim did not run and that it ran.
func writeBothOutcomes(w *streamWriter) {
	key := order.NewKey("merchants", "orders", "k3")
	slot := order.StreamName(order.SlotOf(key))
	claim := w.write(slot, 1_000, order.KindClaim, order.Claim{Key: key, LifetimeMillis: 1_000_000})
	w.write(slot, 1_001, order.KindOutcome, order.Outcome{Key: key, Claim: claim, State: order.NotRan})
	w.write(slot, 1_002, order.KindOutcome, order.Outcome{Key: key, Claim: claim, State: order.Ran})
}

// writeWithdrawnRun writes records of a withdrawn claim that ran.
func writeWithdrawnRun(w *streamWriter) {
	key := order.NewKey("merchants", "orders", "k4")
	slot := order.StreamName(order.SlotOf(key))
	claim := w.write(slot, 1_000, order.KindClaim, order.Claim{Key: key, LifetimeMillis: 1_000_000, Attempt: 7})
	w.write(slot, 1_001, order.KindWithdrawal, order.Withdrawal{Key: key, Attempt: 7})
	w.write(slot, 1_002, order.KindOutcome, order.Outcome{Key: key, Claim: claim, State: order.Ran})
}

// writeDirectRun writes a record of a run without a claim.
func writeDirectRun(w *streamWriter) {
	key := order.NewKey("merchants", "orders", "k5")
	w.write(order.StreamName(order.SlotOf(key)), 1_000, order.KindDirectRun, order.DirectRun{
		Claim:   order.Claim{Key: key, LifetimeMillis: 1_000_000},
		Outcome: order.Outcome{Key: key, State: order.Ran},
	})
}

func breached(report evidence.Report) []evidence.Condition {
	var conditions []evidence.Condition
	for _, finding := range report.Findings {
		if !finding.Holds() {
			conditions = append(conditions, finding.Condition)
		}
	}
	return conditions
}

var _ = Describe("A report", func() {
	var w *streamWriter
	var fencing fleet.FencingNumber

	BeforeEach(func() {
		w = newStreamWriter()
		DeferCleanup(w.server.Kill)
		fencing = w.writeHealthy()
	})

	It("finds no breach in healthy records and counts the checked items", func() {
		report := w.report()
		Expect(breached(report)).To(BeEmpty())
		Expect(report.Findings).To(HaveLen(len(evidence.Conditions)))
		for i, finding := range report.Findings {
			Expect(finding.Condition).To(Equal(evidence.Conditions[i]))
			Expect(finding.Checked).NotTo(BeEmpty())
			Expect(finding.NotKnown).NotTo(BeEmpty())
		}
	})

	It("ignores a record that was appended twice by a retry", func() {
		for _, record := range w.log.Records(group.StreamName(dataCentre)) {
			w.log.Append(group.StreamName(dataCentre), [][]byte{record.Data})
		}
		Expect(breached(w.report())).To(BeEmpty())
	})

	DescribeTable("detects a breach of", func(condition evidence.Condition, writeBreach func()) {
		writeBreach()
		report := w.report()
		Expect(breached(report)).To(Equal([]evidence.Condition{condition}))
		var page bytes.Buffer
		Expect(evidence.WritePage(&page, report)).To(Succeed())
		Expect(page.String()).To(ContainSubstring("BREACH:"))
	},
		Entry("complete groups: work before the group was ready", evidence.GroupsComplete, func() {
			w.writeDigest(0, func(digest *evidence.Digest) {
				digest.Groups = map[fleet.FencingNumber]evidence.GroupUse{fencing: {Attempts: 1, First: epoch, Last: epoch}}
			})
		}),
		Entry("complete groups: work after the group was released", evidence.GroupsComplete, func() {
			w.writeDigest(0, func(digest *evidence.Digest) {
				digest.Groups = map[fleet.FencingNumber]evidence.GroupUse{fencing: {Attempts: 1, First: epoch + 50_000, Last: epoch + 50_000}}
			})
		}),
		Entry("exclusive VMs", evidence.VMsExclusive, func() {
			w.write(group.StreamName(dataCentre), 50_000, logstream.KindSnapshot, snapshotWithSharedVM())
		}),
		Entry("complete responses", evidence.AnswersWhole, func() {
			w.writeDigest(60_000, func(digest *evidence.Digest) { digest.Answers.WithoutEnd = 1 })
		}),
		Entry("refusals as not run: a request that may have run", evidence.NotRunTruthful, func() {
			w.writeDigest(60_000, func(digest *evidence.Digest) { digest.Answers.RanNotRun = 1 })
		}),
		Entry("refusals as not run: an order with both outcomes", evidence.NotRunTruthful, func() { writeBothOutcomes(w) }),
		Entry("refusals as not run: a withdrawn order that ran", evidence.NotRunTruthful, func() { writeWithdrawnRun(w) }),
		Entry("orders at most once: two runs without a claim", evidence.OrdersAtMostOnce, func() {
			writeDirectRun(w)
			writeDirectRun(w)
		}),
		Entry("orders at most once: a key run by two claims", evidence.OrdersAtMostOnce, func() { writeTwoRuns(w) }),
		Entry("drained endpoints: an attempt on a leaving endpoint", evidence.LeavingDrained, func() {
			w.writeDigest(60_000, func(digest *evidence.Digest) { digest.LeavingStarts = 1 })
		}),
		Entry("graceful stops: an aborted request", evidence.StopsGraceful, func() {
			w.writeDigest(60_000, func(digest *evidence.Digest) { digest.CutRequests = 1 })
		}),
		Entry("configuration: a reverted version", evidence.ConfigurationHolds, func() {
			w.writeDigest(60_000, func(digest *evidence.Digest) {
				digest.Versions = []evidence.VersionInForce{{Version: 1, At: epoch + 61_000}, {Version: 2, At: epoch + 62_000}}
			})
		}),
		Entry("configuration: a change after the bound", evidence.ConfigurationHolds, func() {
			third := w.write(config.StreamName, 70_000, config.KindPublish, config.Publish{Base: 2})
			w.writeDigest(60_000, func(digest *evidence.Digest) {
				digest.Versions = []evidence.VersionInForce{{Version: third, At: epoch + 80_000}}
			})
		}),
		Entry("configuration: a change never put in force", evidence.ConfigurationHolds, func() {
			w.write(config.StreamName, 70_000, config.KindPublish, config.Publish{Base: 2})
			w.writeDigest(60_000, func(*evidence.Digest) {})
		}),
	)
})
