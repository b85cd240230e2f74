package ledger_test

import (
	"context"
	"errors"
	"log/slog"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/ledger"
)

var _ = Describe("The ledger", func() {
	ctx := context.Background()
	var log *fakes.KeyedLog
	var first, second *ledger.Ledger
	grant := func(group, member string) *ledger.Record {
		return &ledger.Record{Group: group, Service: "s", Model: "m", Domain: "d", Members: []ledger.Member{{ID: member, Born: 5}}}
	}
	BeforeEach(func() {
		log = fakes.NewKeyedLog()
		logger := slog.New(slog.DiscardHandler)
		first = ledger.New(log, logger, func() {})
		second = ledger.New(log, logger, func() {})
	})

	It("accepts the proposal of only one of two daemons that have read the same end offset", func() {
		Expect(first.Propose(ctx, first.Load(), []*ledger.Record{grant("g", "a")}, nil)).To(Succeed())
		err := second.Propose(ctx, second.Load(), []*ledger.Record{grant("h", "a")}, nil)
		var conflict *keyed.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(second.Load().Groups).To(BeEmpty())
		Expect(first.Load().RecordOfMember("a").Group).To(Equal("g"))
	})

	It("uses the record offset as the epoch, and deletes groups in the same append", func() {
		Expect(first.Propose(ctx, first.Load(), []*ledger.Record{grant("g", "a")}, nil)).To(Succeed())
		Expect(first.Propose(ctx, first.Load(), []*ledger.Record{grant("h", "b")}, []string{"g"})).To(Succeed())
		Expect(first.Load().Groups).To(HaveLen(1))
		Expect(first.Load().Groups["h"].Epoch).To(Equal(uint64(2)))
		Expect(first.Load().End).To(Equal(uint64(3)))
	})

	It("reaches the same state from a full read as from its own writes", func() {
		Expect(first.Propose(ctx, first.Load(), []*ledger.Record{grant("g", "a"), grant("h", "b")}, nil)).To(Succeed())
		page, err := log.Newest(ctx, ledger.Topic, "")
		Expect(err).NotTo(HaveOccurred())
		second.Apply(keyed.Batch{Records: page.Records, Whole: true, End: page.End})
		Expect(second.Load()).To(Equal(first.Load()))
	})

	It("ignores a record that it cannot decode and retains the others", func() {
		Expect(first.Propose(ctx, first.Load(), []*ledger.Record{grant("g", "a")}, nil)).To(Succeed())
		first.Apply(keyed.Batch{Records: []keyed.Record{{Key: "x", Value: []byte("?"), Offset: 1}}, End: 2})
		Expect(first.Load().Groups).To(HaveLen(1))
	})

	It("does not replace a record by an older one of the same group", func() {
		Expect(first.Propose(ctx, first.Load(), []*ledger.Record{grant("g", "a")}, nil)).To(Succeed())
		old, err := log.Read(ctx, ledger.Topic, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Propose(ctx, first.Load(), []*ledger.Record{grant("g", "b")}, nil)).To(Succeed())
		first.Apply(keyed.Batch{Records: old.Records, End: 1})
		Expect(first.Load().Groups["g"].Head().ID).To(Equal("b"))
	})
})
