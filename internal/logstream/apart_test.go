package logstream

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/infra"
)

var _ = ginkgo.Describe("Snapshots in a stream of their own", func() {
	const snapshotStream = testStream + ".snapshots"
	var log *fakes.Log
	var stream *Stream[*listFold]
	options := testOptions("a")
	options.SnapshotsApart = true

	references := func() (offsets []infra.Offset) {
		for _, record := range log.Records(testStream) {
			if kindOf(record.Data) == KindReference {
				offsets = append(offsets, record.Offset)
			}
		}
		return offsets
	}
	snapshotNow := func() {
		before := len(references())
		stream.ProposeSnapshot()
		Eventually(func() int { return len(references()) }, waitLong, waitPoll).Should(BeNumerically(">", before))
	}
	late := func() *Stream[*listFold] { return New(newHooked(log), testStream, newListFold(), options) }

	ginkgo.BeforeEach(func() {
		log = fakes.NewLog(fakes.DefaultAppendRate)
		stream = runStream(newHooked(log), newListFold(), options)
		for value := 1; value <= 5; value++ {
			propose(stream, value)
		}
		snapshotNow()
		propose(stream, 6)
	})

	ginkgo.It("start a follower after the records expired, and cost the others nothing", func() {
		log.Expire(testStream, references()[0])
		follower := late()
		Expect(follower.step(context.Background())).To(Succeed())
		Expect(valuesOf(follower)).To(Equal([]int{1, 2, 3, 4, 5, 6}))
		for _, record := range log.Records(testStream) {
			Expect(kindOf(record.Data)).NotTo(Equal(KindSnapshot))
		}
		Expect(log.Records(snapshotStream)).NotTo(BeEmpty())
	})

	ginkgo.DescribeTable("are passed over for an older one",
		func(spoil func(newest infra.Offset)) {
			snapshotNow()
			spoil(infra.Offset(len(log.Records(snapshotStream))))
			log.Expire(testStream, references()[0])
			follower := late()
			Expect(follower.step(context.Background())).To(Succeed())
			Expect(valuesOf(follower)).To(Equal([]int{1, 2, 3, 4, 5, 6}))
		},
		ginkgo.Entry("when the log lost them", func(newest infra.Offset) { log.Truncate(snapshotStream, newest) }),
		ginkgo.Entry("when another record stands in their place", func(newest infra.Offset) {
			log.Truncate(snapshotStream, newest)
			asOf := references()[1] - 1
			state, _ := Marshal(newListFold())
			body, _ := Marshal(snapshot{AsOf: asOf, State: state})
			packed, _ := compress(body)
			entryBody, _ := Marshal(packed)
			data, _ := Marshal(Entry{Writer: "b", Kind: KindSnapshot, Body: entryBody})
			log.Append(snapshotStream, [][]byte{data})
		}),
	)

	ginkgo.It("are waited for until the records outweigh them", func() {
		log = fakes.NewLog(fakes.DefaultAppendRate)
		often := options
		often.SnapshotEvery = 4
		stream = runStream(newHooked(log), newListFold(), often)
		for value := 100; len(references()) < 5; value++ {
			propose(stream, value)
			Expect(value).To(BeNumerically("<", 1000))
		}
		weight, passed := 0, 0 // of the newest snapshot, and of the records after it
		for _, record := range log.Records(testStream) {
			var entry Entry
			Expect(Unmarshal(record.Data, &entry)).To(Succeed())
			if named, ok := asReference(entry, record.Offset); ok {
				Expect(passed).To(BeNumerically(">=", weight))
				weight, passed = named.Bytes, 0
			}
			passed += len(record.Data)
		}
	})
})
