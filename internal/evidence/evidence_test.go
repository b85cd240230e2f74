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

// snapshotRecord has the fields of a snapshot record.
type snapshotRecord struct {
	AsOf    infra.Offset      `cbor:"1,keyasint"`
	Writers map[string]uint64 `cbor:"2,keyasint"`
	State   []byte            `cbor:"3,keyasint"`
}

// sharedVM returns a snapshot in which VM a belongs to two groups.
func sharedVM() snapshotRecord {
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

// plantRuns records that one key was run by two claims.
func plantRuns(d *doctor) {
	key := order.NewKey("merchants", "orders", "k2")
	slot := order.StreamName(order.SlotOf(key))
	for at := int64(1_000); at <= 2_000; at += 1_000 {
		claim := d.write(slot, at, order.KindClaim, order.Claim{Key: key, LifetimeMillis: 1_000_000})
		d.write(slot, at+1, order.KindOutcome, order.Outcome{Key: key, Claim: claim, State: order.Ran})
	}
}

// plantBothOutcomes records that one claim did not run and that it ran.
func plantBothOutcomes(d *doctor) {
	key := order.NewKey("merchants", "orders", "k3")
	slot := order.StreamName(order.SlotOf(key))
	claim := d.write(slot, 1_000, order.KindClaim, order.Claim{Key: key, LifetimeMillis: 1_000_000})
	d.write(slot, 1_001, order.KindOutcome, order.Outcome{Key: key, Claim: claim, State: order.NotRan})
	d.write(slot, 1_002, order.KindOutcome, order.Outcome{Key: key, Claim: claim, State: order.Ran})
}

// plantWithdrawnRun records that a withdrawn claim ran.
func plantWithdrawnRun(d *doctor) {
	key := order.NewKey("merchants", "orders", "k4")
	slot := order.StreamName(order.SlotOf(key))
	claim := d.write(slot, 1_000, order.KindClaim, order.Claim{Key: key, LifetimeMillis: 1_000_000, Attempt: 7})
	d.write(slot, 1_001, order.KindWithdrawal, order.Withdrawal{Key: key, Attempt: 7})
	d.write(slot, 1_002, order.KindOutcome, order.Outcome{Key: key, Claim: claim, State: order.Ran})
}

// plantDirectRun records a run without a claim.
func plantDirectRun(d *doctor) {
	key := order.NewKey("merchants", "orders", "k5")
	d.write(order.StreamName(order.SlotOf(key)), 1_000, order.KindDirectRun, order.DirectRun{
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
	var d *doctor
	var fencing fleet.FencingNumber

	BeforeEach(func() {
		d = newDoctor()
		DeferCleanup(d.server.Kill)
		fencing = d.healthy()
	})

	It("finds nothing in healthy records and counts what it checked", func() {
		report := d.report()
		Expect(breached(report)).To(BeEmpty())
		Expect(report.Findings).To(HaveLen(len(evidence.Conditions)))
		for i, finding := range report.Findings {
			Expect(finding.Condition).To(Equal(evidence.Conditions[i]))
			Expect(finding.Checked).NotTo(BeEmpty())
			Expect(finding.NotKnown).NotTo(BeEmpty())
		}
	})

	It("passes over a record that a repeated append brought twice", func() {
		for _, record := range d.log.Records(group.StreamName(dataCentre)) {
			d.log.Append(group.StreamName(dataCentre), [][]byte{record.Data})
		}
		Expect(breached(d.report())).To(BeEmpty())
	})

	DescribeTable("finds a planted breach of", func(condition evidence.Condition, plant func()) {
		plant()
		report := d.report()
		Expect(breached(report)).To(Equal([]evidence.Condition{condition}))
		var page bytes.Buffer
		Expect(evidence.WritePage(&page, report)).To(Succeed())
		Expect(page.String()).To(ContainSubstring("BREACH:"))
	},
		Entry("complete groups: work before readiness", evidence.GroupsComplete, func() {
			d.digest(0, func(digest *evidence.Digest) {
				digest.Groups = map[fleet.FencingNumber]evidence.GroupUse{fencing: {Attempts: 1, First: epoch, Last: epoch}}
			})
		}),
		Entry("complete groups: work after release", evidence.GroupsComplete, func() {
			d.digest(0, func(digest *evidence.Digest) {
				digest.Groups = map[fleet.FencingNumber]evidence.GroupUse{fencing: {Attempts: 1, First: epoch + 50_000, Last: epoch + 50_000}}
			})
		}),
		Entry("exclusive VMs", evidence.VMsExclusive, func() {
			d.write(group.StreamName(dataCentre), 50_000, logstream.KindSnapshot, sharedVM())
		}),
		Entry("whole answers", evidence.AnswersWhole, func() {
			d.digest(60_000, func(digest *evidence.Digest) { digest.Answers.WithoutEnd = 1 })
		}),
		Entry("truthful refusals: a request", evidence.NotRunTruthful, func() {
			d.digest(60_000, func(digest *evidence.Digest) { digest.Answers.RanNotRun = 1 })
		}),
		Entry("truthful refusals: an order", evidence.NotRunTruthful, func() { plantBothOutcomes(d) }),
		Entry("truthful refusals: a withdrawn order", evidence.NotRunTruthful, func() { plantWithdrawnRun(d) }),
		Entry("orders at most once: a run without a claim", evidence.OrdersAtMostOnce, func() {
			plantDirectRun(d)
			plantDirectRun(d)
		}),
		Entry("orders at most once", evidence.OrdersAtMostOnce, func() { plantRuns(d) }),
		Entry("drained endpoints", evidence.LeavingDrained, func() {
			d.digest(60_000, func(digest *evidence.Digest) { digest.LeavingStarts = 1 })
		}),
		Entry("graceful stops", evidence.StopsGraceful, func() {
			d.digest(60_000, func(digest *evidence.Digest) { digest.CutRequests = 1 })
		}),
		Entry("configuration: a step back", evidence.ConfigurationHolds, func() {
			d.digest(60_000, func(digest *evidence.Digest) {
				digest.Versions = []evidence.VersionInForce{{Version: 1, At: epoch + 61_000}, {Version: 2, At: epoch + 62_000}}
			})
		}),
		Entry("configuration: a slow change", evidence.ConfigurationHolds, func() {
			third := d.write(config.StreamName, 70_000, config.KindPublish, config.Publish{Base: 2})
			d.digest(60_000, func(digest *evidence.Digest) {
				digest.Versions = []evidence.VersionInForce{{Version: third, At: epoch + 80_000}}
			})
		}),
		Entry("configuration: a missed change", evidence.ConfigurationHolds, func() {
			d.write(config.StreamName, 70_000, config.KindPublish, config.Publish{Base: 2})
			d.digest(60_000, func(*evidence.Digest) {})
		}),
	)
})
