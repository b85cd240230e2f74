package forward_test

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/wiretest"
)

// The types of the previous version (commit 0bf6cfb), copied.
type (
	oldExchange struct {
		RequestID  string      `cbor:"1,keyasint,omitempty"`
		Endpoint   oldEndpoint `cbor:"2,keyasint"`
		Method     string      `cbor:"3,keyasint"`
		Target     string      `cbor:"4,keyasint"`
		Host       string      `cbor:"5,keyasint,omitempty"`
		Header     http.Header `cbor:"6,keyasint,omitempty"`
		Body       []byte      `cbor:"7,keyasint,omitempty"`
		Fresh      bool        `cbor:"8,keyasint,omitempty"`
		Repeatable bool        `cbor:"9,keyasint,omitempty"`
	}
	oldEndpoint struct {
		Key         string `cbor:"1,keyasint"`
		ID          string `cbor:"2,keyasint,omitempty"`
		Incarnation int64  `cbor:"3,keyasint,omitempty"`
		Address     string `cbor:"4,keyasint"`
	}
	oldFrame struct {
		Head    *oldHead    `cbor:"1,keyasint,omitempty"`
		Data    []byte      `cbor:"2,keyasint,omitempty"`
		End     bool        `cbor:"3,keyasint,omitempty"`
		Failure *oldFailure `cbor:"4,keyasint,omitempty"`
	}
	oldHead struct {
		Status int         `cbor:"1,keyasint"`
		Header http.Header `cbor:"2,keyasint,omitempty"`
	}
	oldFailure struct {
		NotSent bool   `cbor:"1,keyasint,omitempty"`
		Blame   int    `cbor:"2,keyasint,omitempty"`
		Text    string `cbor:"3,keyasint,omitempty"`
	}
)

// Guards against exchanges that a daemon of one version forwards and one of the other cannot read,
// or whose failure it takes for another one: a request would be lost or run twice.
var _ = Describe("Frames of forwarded exchanges of two versions", func() {
	It("of the previous version are read by this one", func() {
		previous, err := wiretest.Previous()
		Expect(err).NotTo(HaveOccurred())
		var exchange outbound.Exchange
		Expect(cbor.Unmarshal(previous["exchange"], &exchange)).To(Succeed())
		Expect(exchange).To(Equal(outbound.Exchange{
			RequestID: "r1", Endpoint: outbound.Endpoint{Key: "e", ID: "e1", Incarnation: 1700000000001, Address: "10.0.0.2:80"}, Method: "POST", Target: "/x?y=1",
			Host: "h.example", Header: http.Header{"X-Test": {"t"}}, Body: []byte("body"), Fresh: true, Repeatable: true,
		}))
		read := func(name string) forward.Message {
			var frame forward.Message
			Expect(cbor.Unmarshal(previous[name], &frame)).To(Succeed())
			return frame
		}
		Expect(read("head").Head.Status).To(Equal(202))
		Expect(read("head").Head.Header).To(Equal(http.Header{"X-Answer": {"yes"}}))
		Expect(read("data").Data).To(Equal([]byte("event 1\n")))
		Expect(read("end").End).To(BeTrue())
		failure := read("failure").Failure
		Expect([]any{failure.NotSent, failure.Blame, failure.Text}).To(Equal([]any{true, outbound.BlamePath, "declined: cut_off"}))
	})

	DescribeTable("of this version are read by the previous one, whatever fields this one adds", func(frame, old any, fields int) {
		Expect(wiretest.Kept(frame, old, fields)).To(BeTrue())
	},
		Entry("an exchange, with the regions in which it may be handled", wiretest.Fill[outbound.Exchange](), &oldExchange{}, 9),
		Entry("the frames of an answer", wiretest.Fill[forward.Message](), &oldFrame{}, 4),
	)
})
