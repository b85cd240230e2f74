package logstream

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
)

// slowFold is a fold whose encoding blocks until released is closed.
type slowFold struct {
	*listFold
	encoding chan struct{}
	released chan struct{}
}

func (f *slowFold) Encode() ([]byte, error) {
	f.encoding <- struct{}{}
	<-f.released
	return f.listFold.Encode()
}

func (f *slowFold) Freeze() func() ([]byte, error) {
	data, err := f.listFold.Encode()
	return func() ([]byte, error) {
		f.encoding <- struct{}{}
		<-f.released
		return data, err
	}
}

var _ = ginkgo.Describe("A fold that implements Freezer", func() {
	ginkgo.It("does not delay proposals while its snapshot is encoded", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		fold := &slowFold{listFold: newListFold(), encoding: make(chan struct{}, 10), released: make(chan struct{})}
		stream := New(newHookedLog(log), testStream, fold, testOptions("a"))
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		ginkgo.DeferCleanup(cancel)
		go stream.Run(ctx)
		add := func(value int) {
			_, err := stream.Propose(ctx, kindAdd, value)
			Expect(err).NotTo(HaveOccurred())
		}
		add(1)
		go stream.ProposeSnapshot()
		Eventually(fold.encoding, eventuallyTimeout).Should(Receive())
		add(2)
		close(fold.released)
		Eventually(func() int { return len(log.Records(testStream)) }, eventuallyTimeout, pollInterval).Should(BeNumerically(">", 3))
		Expect(kindOf(log.Records(testStream)[2].Data)).To(Equal(KindSnapshot))
	})
})
