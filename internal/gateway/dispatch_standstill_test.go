package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/monotonic"
	"github.com/plantainmux/plantainmux/internal/peer"
)

var _ = Describe("A daemon that stands still while it asks its dispatcher", func() {
	// Guards against a sound dispatcher that is not asked for a time because of the caller's own standstill.
	It("reads the answer on waking, and asks the dispatcher again", func() {
		// The helper answers once this process is stopped, and lets it go on then.
		helper := exec.Command("sh", "-c", fmt.Sprintf(`while read -r line; do until grep -q '^State:.T' /proc/%[1]d/status; do sleep 0.01; done; echo; sleep 0.05; kill -CONT %[1]d; done`, os.Getpid()))
		begin, err := helper.StdinPipe()
		Expect(err).NotTo(HaveOccurred())
		answers, err := helper.StdoutPipe()
		Expect(err).NotTo(HaveOccurred())
		Expect(helper.Start()).To(Succeed())
		DeferCleanup(func() {
			_ = helper.Process.Kill()
			_ = helper.Wait()
		})
		arrived := make(chan struct{})
		go func() {
			one := make([]byte, 1)
			for {
				if _, err := answers.Read(one); err != nil {
					return
				}
				arrived <- struct{}{}
			}
		}()
		client := newDispatchClient(dispatchClientDependencies{
			self: "self", metrics: metrics.NewSet(), logger: slog.New(slog.DiscardHandler), clock: monotonic.Clock(),
			known: func(unknownTarget) bool { return true },
			call: func(ctx context.Context, _ string, _ dispatch.Call, answer *dispatch.Answer) error {
				if _, err := begin.Write([]byte("\n")); err != nil {
					return err
				}
				if err := syscall.Kill(os.Getpid(), syscall.SIGSTOP); err != nil {
					return err
				}
				select {
				case <-arrived:
					answer.Target = "g"
					return nil
				case <-ctx.Done():
					<-arrived
					return &peer.LinkError{Daemon: "hub", Err: ctx.Err()}
				}
			},
		})
		client.follow("hub")
		for range 15 {
			Expect(client.ask(context.Background(), dispatch.Call{Service: "s", Model: "m"})).To(Equal(dispatch.Outcome{Asked: true, By: "hub", Answer: dispatch.Answer{Target: "g"}}))
		}
	})
})
