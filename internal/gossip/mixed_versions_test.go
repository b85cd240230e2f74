package gossip_test

import (
	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/targetstats"
	"github.com/plantainmux/plantainmux/internal/wiretest"
)

// The types of the previous version (commit 0bf6cfb), copied.
type (
	oldMessage struct {
		Node           string             `cbor:"1,keyasint"`
		Incarnation    int64              `cbor:"2,keyasint"`
		Sequence       uint64             `cbor:"3,keyasint"`
		Draining       bool               `cbor:"4,keyasint,omitempty"`
		Traffic        bool               `cbor:"5,keyasint,omitempty"`
		Store          bool               `cbor:"6,keyasint,omitempty"`
		Config         int64              `cbor:"7,keyasint,omitempty"`
		Loads          map[uint32]oldLoad `cbor:"8,keyasint,omitempty"`
		Suspicions     []oldSuspicion     `cbor:"9,keyasint,omitempty"`
		NewGroups      []oldSuspicion     `cbor:"11,keyasint,omitempty"`
		Suspects       []oldReport        `cbor:"14,keyasint,omitempty"`
		Limits         []oldLimitReport   `cbor:"15,keyasint,omitempty"`
		CutOff         bool               `cbor:"16,keyasint,omitempty"`
		FailedRequests []uint32           `cbor:"13,keyasint,omitempty"`
		Digests        []cbor.RawMessage  `cbor:"12,keyasint,omitempty"`
	}
	oldDigest struct {
		DataCentre     string             `cbor:"1,keyasint"`
		AgeMS          int                `cbor:"2,keyasint"`
		Members        []oldMember        `cbor:"3,keyasint"`
		Traffic        bool               `cbor:"5,keyasint,omitempty"`
		Config         int64              `cbor:"7,keyasint,omitempty"`
		Loads          map[uint32]oldLoad `cbor:"8,keyasint,omitempty"`
		Suspicions     []oldSuspicion     `cbor:"9,keyasint,omitempty"`
		NewGroups      []oldSuspicion     `cbor:"11,keyasint,omitempty"`
		FailedRequests []uint32           `cbor:"13,keyasint,omitempty"`
		CutOff         []uint32           `cbor:"16,keyasint,omitempty"`
	}
	oldMember struct {
		_        struct{} `cbor:",toarray"`
		Hash     uint32
		AgeMS    int
		Store    bool
		Draining bool
	}
	oldLoad struct {
		_             struct{} `cbor:",toarray"`
		Count         int
		AgeMS         int
		PrefillTokens int
	}
	oldSuspicion struct {
		Group         string `cbor:"1,keyasint"`
		Epoch         uint64 `cbor:"2,keyasint"`
		MissingMember string `cbor:"3,keyasint,omitempty"`
		Tentative     bool   `cbor:"4,keyasint,omitempty"`
		AgeMS         int    `cbor:"5,keyasint,omitempty"`
	}
	oldReport struct {
		_       struct{} `cbor:",toarray"`
		Part    bool
		Hash    uint64
		Sound   bool
		AgeMS   int
		Crashes []oldCrash
	}
	oldCrash struct {
		_       struct{} `cbor:",toarray"`
		Group   uint64
		AgeMS   int
		Cleared bool
	}
	oldLimitReport struct {
		_        struct{} `cbor:",toarray"`
		Endpoint uint64
		Version  uint64
		PerS     float64
	}
	oldRegistration struct {
		Address     string  `cbor:"1,keyasint"`
		DataCentre  string  `cbor:"2,keyasint"`
		Incarnation int64   `cbor:"3,keyasint"`
		CPUShare    float64 `cbor:"4,keyasint,omitempty"`
	}
)

// Guards against fields that change their key, type or form, so that daemons of two versions that
// run side by side in a rolling replacement drop each other's datagrams and registrations.
var _ = Describe("Messages between daemons of two versions", func() {
	digest := gossip.Digest{
		DataCentre: "north", AgeMS: 40, Members: []gossip.Member{{Hash: 7, AgeMS: 30, Store: true, Draining: true}}, Traffic: true, Config: 9,
		Loads: map[uint32]gossip.Load{5: {Count: 3, AgeMS: 20, PrefillTokens: 700}}, Suspicions: []gossip.Suspicion{{Group: "g", Epoch: 4, MissingMember: "m", Tentative: true, AgeMS: 8}},
		NewGroups: []gossip.Suspicion{{Group: "h", Epoch: 6}}, FailedRequests: []uint32{11, 12}, CutOff: []uint32{7},
	}

	It("of the previous version are read by this one", func() {
		previous, err := wiretest.Previous()
		Expect(err).NotTo(HaveOccurred())
		var readDigest gossip.Digest
		Expect(cbor.Unmarshal(previous["digest"], &readDigest)).To(Succeed())
		Expect(readDigest).To(Equal(digest))
		var registration gossip.Registration
		Expect(cbor.Unmarshal(previous["registration"], &registration)).To(Succeed())
		Expect(registration).To(Equal(gossip.Registration{Address: "10.0.0.1:7000", DataCentre: "north", Incarnation: 1700000000000, CPUShare: 0.5}))
		var message gossip.Message
		Expect(cbor.Unmarshal(previous["message"], &message)).To(Succeed())
		Expect(message).To(Equal(gossip.Message{
			Node: "n1", Incarnation: 1700000000000, Sequence: 42, Draining: true, Traffic: true, Store: true, Config: 9,
			Loads: map[uint32]gossip.Load{5: {Count: 3, AgeMS: -1, PrefillTokens: 700}}, Suspicions: digest.Suspicions, NewGroups: digest.NewGroups,
			Suspects: []suspect.Report{{Part: true, Hash: 99, Sound: true, AgeMS: 10, Crashes: []suspect.ReportedCrash{{Group: 3, AgeMS: 12, Cleared: true}}}},
			Limits:   []targetstats.LimitReport{{Endpoint: 8, Version: 2, PerS: 2.5}}, CutOff: true, FailedRequests: []uint32{11, 12}, Digests: []cbor.RawMessage{previous["digest"]},
		}))
	})

	DescribeTable("of this version are read by the previous one, whatever fields this one adds", func(message, old any, fields int) {
		Expect(wiretest.Kept(message, old, fields)).To(BeTrue())
	},
		Entry("message", wiretest.Fill[gossip.Message](), &oldMessage{}, 15),
		Entry("digest", wiretest.Fill[gossip.Digest](), &oldDigest{}, 10),
		Entry("registration", wiretest.Fill[gossip.Registration](), &oldRegistration{}, 4),
		Entry("message with the keys of later fields", laterMessage{Message: wiretest.Fill[gossip.Message](), Later: []any{"zone", 3, true}, Latest: []any{[]any{1, 2}}}, &oldMessage{}, 15),
	)

	It("of a later version are read by this one", func() {
		data, err := cbor.Marshal(laterMessage{Message: gossip.Message{Node: "n", Sequence: 3}, Later: []any{"zone"}, Latest: map[int]any{1: 2.5}})
		Expect(err).NotTo(HaveOccurred())
		var message gossip.Message
		Expect(cbor.Unmarshal(data, &message)).To(Succeed())
		Expect(message).To(Equal(gossip.Message{Node: "n", Sequence: 3}))
	})
})

// laterMessage is a message with fields that no version has yet.
type laterMessage struct {
	gossip.Message
	Later  any `cbor:"98,keyasint,omitempty"`
	Latest any `cbor:"99,keyasint,omitempty"`
}
