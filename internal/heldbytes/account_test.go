package heldbytes_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing/iotest"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/heldbytes"
)

var _ = Describe("The account of held bytes", func() {
	var set *metrics.Set
	var account *heldbytes.Account
	BeforeEach(func() {
		set = metrics.NewSet()
		account = heldbytes.NewAccount(1<<20, set)
	})

	bodies := func() int64 { return account.Held(heldbytes.Requests) + account.Held(heldbytes.SmallRequests) }

	// Guards against large bodies and heads that leave no memory for ordinary requests, and against many of either that
	// leave none for the others.
	It("holds small requests beside others that use all they may, and heads up to their share", func() {
		Expect(account.Hold(heldbytes.Heads, 1<<18)).To(Succeed())
		Expect(account.Hold(heldbytes.Heads, 1)).NotTo(Succeed())
		Expect(account.Hold(heldbytes.Requests, 1<<19)).To(Succeed())
		Expect(account.Hold(heldbytes.Requests, 1)).NotTo(Succeed())
		Expect(account.Hold(heldbytes.SmallRequests, 1<<17)).To(Succeed())
		Expect(account.Hold(heldbytes.SmallRequests, 1)).NotTo(Succeed())
		Expect(account.Hold(heldbytes.Answers, 1<<17)).To(Succeed())
	})

	// Guards against requests and slow callers that leave no memory for answers that are ready.
	It("refuses requests and events before answers", func() {
		Expect(account.Hold(heldbytes.Requests, 3<<18)).To(Succeed())
		var limit *heldbytes.LimitError
		Expect(errors.As(account.Hold(heldbytes.Events, 1), &limit)).To(BeTrue())
		Expect(limit).To(Equal(&heldbytes.LimitError{Kind: heldbytes.Events, Wanted: 1, Held: 3 << 18, Limit: 3 << 18}))
		Expect(account.Hold(heldbytes.Answers, 1<<18)).To(Succeed())
		Expect(account.Hold(heldbytes.Answers, 1)).NotTo(Succeed())
		account.Release(heldbytes.Requests, 3<<18)
		Expect(account.Hold(heldbytes.Events, 1)).To(Succeed())
		var text bytes.Buffer
		set.WritePrometheus(&text)
		for _, line := range []string{`plantainmux_held_bytes{kind="requests"} 0`, `plantainmux_held_bytes{kind="events"} 1`, `plantainmux_held_refusals_total{kind="events"} 1`, `plantainmux_held_limit_bytes 1048576`} {
			Expect(text.String()).To(ContainSubstring(line + "\n"))
		}
	})

	// Guards against bodies that are cut, and against bytes that stay counted.
	DescribeTable("reads bodies whole and counts what they hold", func(size int, known bool) {
		sent := strings.Repeat("x", size)
		length := int64(-1)
		if known {
			length = int64(size)
		}
		data, release, err := account.ReadRequest(iotest.HalfReader(strings.NewReader(sent)), length)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data) == sent).To(BeTrue())
		Expect(bodies()).To(And(BeNumerically(">=", size), BeNumerically("<=", max(2*size, 64<<10))))
		if known {
			Expect(bodies()).To(BeEquivalentTo(size))
		}
		release()
		Expect(bodies()).To(BeZero())
	},
		Entry("empty", 0, true), Entry("empty, length unknown", 0, false), Entry("short", 100, true), Entry("short, length unknown", 100, false),
		Entry("of the first buffer", 64<<10, true), Entry("of the first buffer, length unknown", 64<<10, false), Entry("long", 300_001, true), Entry("long, length unknown", 300_001, false),
	)

	// Guards against reading a body that cannot be held, and against bytes that stay counted.
	It("refuses a body before it is read if its length is known, otherwise while it is read", func() {
		body := strings.NewReader(strings.Repeat("x", 1<<20))
		_, release, err := account.ReadRequest(body, 1<<20)
		var limit *heldbytes.LimitError
		Expect(errors.As(err, &limit)).To(BeTrue())
		Expect(body.Len()).To(Equal(1 << 20))
		release()
		_, release, err = account.ReadRequest(body, -1)
		Expect(errors.As(err, &limit)).To(BeTrue())
		release()
		_, release, err = account.ReadRequest(iotest.ErrReader(io.ErrUnexpectedEOF), 10)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		release()
		Expect(account.Held(heldbytes.Requests)).To(BeZero())
	})
})
