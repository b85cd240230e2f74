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

// The retry reason of a failed open determines whether the request may have run.
var _ = DescribeTable("Failure to open a stream",
	func(sent bool, err error, want retry.Reason, mayHaveRun bool) {
		a := &attempt{target: &target{serving: &view.Serving{}}, sent: sent}
		reason := retry.ReasonOf(a.classifyOpenError(err))
		Expect(reason).To(Equal(want))
		Expect(reason.MayHaveRun()).To(Equal(mayHaveRun))
	},
	Entry("first open, connection refused: the request did not run", false, refusedDial, retry.Unreachable, false),
	Entry("first open, dial timeout: the request did not run", false, timedOut, retry.Unreachable, false),
	Entry("first open, refused by the engine: the request did not run", false, notRun(endpoint.CodeQueueFull), retry.NotRun, false),
	Entry("first open, broken exchange: the request may have run", false, brokenOff, retry.Broken, true),
	Entry("first open, error status: the request may have run", false, status(http.StatusInternalServerError), retry.Broken, true),
	Entry("resume, refused by the engine: the request may have run", true, notRun(endpoint.CodeQueueFull), retry.Broken, true),
	Entry("resume, dial timeout: the request may have run", true, timedOut, retry.Broken, true),
	Entry("resume, connection refused: the process ended", true, refusedDial, retry.Died, true),
	Entry("resume, attempt unknown to the endpoint: the process ended", true, &endpoint.AttemptLostError{}, retry.Died, true),
	Entry("resume, endpoint belongs to another group: the process ended", true, notRun(endpoint.CodeWrongGroup), retry.Died, true),
)

var _ = DescribeTable("Failure classification",
	func(err error, notEndpointFault, rejected bool) {
		Expect(isNotEndpointFault(err)).To(Equal(notEndpointFault))
		Expect(isRejected(err)).To(Equal(rejected))
	},
	Entry("caller connection error: not an endpoint fault", &SinkError{Err: io.ErrClosedPipe}, true, false),
	Entry("missing frames: not an endpoint fault", &GapError{}, true, false),
	Entry("diverging answer: not an endpoint fault", &DivergedError{}, true, false),
	Entry("recall: not an endpoint fault", &RecalledError{}, true, false),
	Entry("stall: endpoint fault", &StalledError{}, false, false),
	Entry("broken exchange: endpoint fault", brokenOff, false, false),
	Entry("status 400: rejected by every endpoint", status(http.StatusBadRequest), false, true),
	Entry("status 429: not rejected by every endpoint", status(http.StatusTooManyRequests), false, false),
	Entry("status 502: not rejected by every endpoint", status(http.StatusBadGateway), false, false),
)

var _ = Describe("Recall", func() {
	It("has no effect after the first frame and rejects the first frame once triggered", func() {
		var stopCause error
		r := &recall{attempt: "a.1", cancel: func(cause error) { stopCause = cause }}
		Expect(r.recordFirstFrame()).To(BeTrue())
		r.trigger()
		Expect(stopCause).To(BeNil())
		r = &recall{attempt: "a.1", cancel: func(cause error) { stopCause = cause }}
		r.trigger()
		Expect(r.recordFirstFrame()).To(BeFalse())
		Expect(retry.ReasonOf(stopCause)).To(Equal(retry.Recalled))
	})
})
