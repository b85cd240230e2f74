package relay

import (
	"io"
	"net/http"
	"os"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/retry"
	"github.com/plantainmux/plantainmux/internal/view"
)

var (
	refusedDial = &endpoint.UnreachableError{Err: &os.SyscallError{Syscall: "connect", Err: syscall.ECONNREFUSED}}
	timedOut    = &endpoint.UnreachableError{Err: os.ErrDeadlineExceeded}
	brokenOff   = &endpoint.BrokenError{Err: io.ErrUnexpectedEOF}
)

func notRun(code string) error { return &endpoint.NotRunError{Code: code} }

func status(code int) error {
	return &endpoint.BrokenError{Err: &endpoint.StatusError{Status: code}}
}

// The reason of a failed open decides whether the request may have run.
var _ = DescribeTable("A failed open of a stream",
	func(sent bool, err error, want retry.Reason, mayHaveRun bool) {
		a := &attempt{target: &target{serving: &view.Serving{}}, sent: sent}
		reason := retry.ReasonOf(a.openFailure(err))
		Expect(reason).To(Equal(want))
		Expect(reason.MayHaveRun()).To(Equal(mayHaveRun))
	},
	Entry("proves at first that nothing ran when no byte was sent", false, refusedDial, retry.Unreachable, false),
	Entry("proves so too when the dial timed out", false, timedOut, retry.Unreachable, false),
	Entry("proves so when the engine refused", false, notRun(endpoint.CodeQueueFull), retry.NotRun, false),
	Entry("proves nothing when the exchange broke", false, brokenOff, retry.Broken, true),
	Entry("proves nothing by a status", false, status(http.StatusInternalServerError), retry.Broken, true),
	Entry("after bytes were sent proves nothing when the engine refuses to go on", true, notRun(endpoint.CodeQueueFull), retry.Broken, true),
	Entry("after bytes were sent proves nothing when the dial times out", true, timedOut, retry.Broken, true),
	Entry("after bytes were sent shows that the process is gone by a refused dial", true, refusedDial, retry.Died, true),
	Entry("after bytes were sent shows so by a lost attempt", true, &endpoint.AttemptLostError{}, retry.Died, true),
	Entry("after bytes were sent shows so by another group", true, notRun(endpoint.CodeWrongGroup), retry.Died, true),
)

var _ = DescribeTable("A failure",
	func(err error, own, rejected bool) {
		Expect(isOwnFault(err)).To(Equal(own))
		Expect(isRejected(err)).To(Equal(rejected))
	},
	Entry("of the caller's connection is not the endpoint's", &SinkError{Err: io.ErrClosedPipe}, true, false),
	Entry("by missing frames is not", &GapError{}, true, false),
	Entry("by another beginning is not", &DivergedError{}, true, false),
	Entry("by a recall is not", &RecalledError{}, true, false),
	Entry("by silence is the endpoint's", &StalledError{}, false, false),
	Entry("of the exchange is", brokenOff, false, false),
	Entry("by a bad request would be met elsewhere too", status(http.StatusBadRequest), false, true),
	Entry("by too many requests would not", status(http.StatusTooManyRequests), false, false),
	Entry("by a server error would not", status(http.StatusBadGateway), false, false),
)

var _ = Describe("The first frame and a recall", func() {
	It("exclude each other", func() {
		var given error
		r := &recall{attempt: "a.1", giveUp: func(cause error) { given = cause }}
		Expect(r.begin()).To(BeTrue())
		r.make()
		Expect(given).To(BeNil())
		r = &recall{attempt: "a.1", giveUp: func(cause error) { given = cause }}
		r.make()
		Expect(r.begin()).To(BeFalse())
		Expect(retry.ReasonOf(given)).To(Equal(retry.Recalled))
	})
})
