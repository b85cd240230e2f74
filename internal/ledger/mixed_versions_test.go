package ledger_test

import (
	"log/slog"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/wiretest"
)

// The types of the previous version (commit 0bf6cfb), copied.
type (
	oldRecord struct {
		Service       string           `cbor:"1,keyasint"`
		Model         string           `cbor:"2,keyasint"`
		Domain        string           `cbor:"3,keyasint"`
		Members       []oldMember      `cbor:"4,keyasint"`
		Former        []oldFormerGroup `cbor:"5,keyasint"`
		Dissolving    bool             `cbor:"6,keyasint"`
		Era           uint64           `cbor:"7,keyasint,omitempty"`
		RestoredEpoch *uint64          `cbor:"8,keyasint,omitempty"`
	}
	oldMember struct {
		ID          string `cbor:"1,keyasint"`
		Address     string `cbor:"2,keyasint"`
		Incarnation int64  `cbor:"3,keyasint"`
	}
	oldFormerGroup struct {
		Group string    `cbor:"1,keyasint"`
		Epoch uint64    `cbor:"2,keyasint"`
		Head  oldMember `cbor:"3,keyasint"`
		Drain bool      `cbor:"4,keyasint"`
	}
)

// Guards against a group that daemons of one version grant and those of the other do not see: its
// endpoints would be granted twice.
var _ = Describe("Group records of two versions", func() {
	It("of the previous version are read by this one", func() {
		previous, err := wiretest.Previous()
		Expect(err).NotTo(HaveOccurred())
		l := ledger.New(nil, slog.New(slog.DiscardHandler), func() {})
		l.Apply(keyed.Batch{Records: []keyed.Record{{Key: "a", Value: previous["granted"], Offset: 4}, {Key: "b", Value: previous["full"], Offset: 5}}, End: 6, Complete: true})
		groups := l.Load().Groups
		head := ledger.Member{ID: "e1", Address: "10.0.0.2:80", Incarnation: 1700000000001}
		Expect(groups["a"].Members).To(Equal([]ledger.Member{head, {ID: "e2", Address: "10.0.0.3:80", Incarnation: 1700000000002}}))
		Expect([]any{groups["a"].Service, groups["a"].Model, groups["a"].Domain, groups["a"].Dissolving}).To(Equal([]any{"s", "m", "d", false}))
		Expect(groups["b"].Former).To(Equal([]ledger.FormerGroup{{Group: "f", Epoch: 5, Head: head, Drain: true}}))
		Expect([]any{groups["b"].Dissolving, groups["b"].Era, groups["b"].Epoch}).To(Equal([]any{true, uint64(2), uint64(77)}))
	})

	It("of this version are read by the previous one, whatever fields this one adds", func() {
		Expect(wiretest.Kept(wiretest.Fill[ledger.Record](), &oldRecord{}, 8)).To(BeTrue())
	})
})
