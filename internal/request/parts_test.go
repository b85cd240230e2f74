package request_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/request"
)

var _ = Describe("The parts of a prompt", func() {
	parts := func(messages string) []uint64 {
		return request.PartHashes("m", "a", []byte(`{"model":"m","messages":`+messages+`}`))
	}
	hash := func(message string) uint64 { return request.Fingerprint("m", "a", []byte(message)) }

	// Guards against daemons that disagree on a part.
	DescribeTable("are all messages but the last, as they were sent", func(messages string, sent ...string) {
		var want []uint64
		for _, message := range sent {
			want = append(want, hash(message))
		}
		Expect(parts(messages)).To(Equal(want))
	},
		Entry("none", `[]`),
		Entry("one", `[{"a":1}]`),
		Entry("two", `[{"a":1},{"b":2}]`, `{"a":1}`),
		Entry("of any form, with spaces", " [ {\"a\" : 1} ,\n\t\"text\" , [1, 2], null , 7 ] ", `{"a" : 1}`, `"text"`, `[1, 2]`, `null`),
		Entry("no list", `{"a":1}`),
		Entry("nothing", `null`),
	)

	// Guards against bodies of very many messages that take many times their size for as long as their requests.
	It("are limited in number", func() {
		found := parts("[{}" + strings.Repeat(",{}", 330000) + "]")
		Expect(found).To(HaveLen(4096))
		Expect(found[4095]).To(Equal(hash("{}")))
	})
})
