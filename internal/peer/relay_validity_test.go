package peer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The time within which a relayed call may begin", func() {
	// Guards against calls that begin with more time than their caller has, through a relay that does not know their age yet.
	It("does not grow at a relay to which the clock of its caller is unknown", func() {
		short := Timestamp(validity(true, 0, true) / time.Millisecond)
		Expect(clockedLink().leftOf(frame{Kind: frameOpen, Sent: 1, Valid: short})).To(BeNumerically("<=", short))
	})
})
