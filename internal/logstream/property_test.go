package logstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	propertyDaemons   = 4
	propertyProposers = 5
	propertyProposals = 30
	propertyRetained  = 150 // number of records that the log retains
)

var propertyFaults = fakes.LogFaults{
	Unavailable: 0.08,
	Limited:     0.08,
	LoseAnswer:  0.1,
	LoseRequest: 0.1,
	Repeat:      0.05,
	Delay:       0.1,
	MaxDelay:    60 * time.Millisecond,
}

// reportedOutcome is the result that Propose returned for one value.
type reportedOutcome struct {
	value    int
	accepted bool
	void     bool
	sent     bool
}

// propertyRun is one run of several daemons against one faulty log.
type propertyRun struct {
	log     *fakes.Log
	clients []*fakes.FaultyLog
	folds   []*listFold
	streams []*Stream[*listFold]

	mu       sync.Mutex
	reported []reportedOutcome
}

func startPropertyRun(seed uint64) *propertyRun {
	run := &propertyRun{log: fakes.NewLog(fakes.DefaultAppendRate)}
	for i := range propertyDaemons {
		client := fakes.NewFaultyLog(run.log, seed*100+uint64(i), propertyFaults)
		fold := newListFold()
		run.clients = append(run.clients, client)
		run.folds = append(run.folds, fold)
		run.streams = append(run.streams, runStream(client, fold, propertyOptions(seed, i)))
	}
	return run
}

// propertyOptions stores the snapshots in a separate stream for even seeds.
func propertyOptions(seed uint64, daemon int) Options {
	options := testOptions(fmt.Sprintf("daemon-%d", daemon))
	options.SnapshotsApart = seed%2 == 0
	return options
}

func (r *propertyRun) propose(daemon, proposer int, random *rand.Rand) {
	for i := range propertyProposals {
		value := (daemon*propertyProposers+proposer)*propertyProposals + i + 1
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond+time.Duration(random.IntN(120))*time.Millisecond)
		receipt, err := r.streams[daemon].Propose(ctx, kindAdd, value)
		cancel()
		var failed *ProposalError
		sent := errors.As(err, &failed) && failed.Sent
		r.mu.Lock()
		r.reported = append(r.reported, reportedOutcome{value: value, accepted: err == nil && receipt.Void == nil, void: err == nil && receipt.Void != nil, sent: sent})
		r.mu.Unlock()
	}
}

// injectFaults expires old records and makes the log unavailable to one daemon at a
// time.
func (r *propertyRun) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		if end := logEnd(r.log); end > propertyRetained {
			r.log.Expire(testStream, end-propertyRetained)
		}
		client := r.clients[random.IntN(len(r.clients))]
		client.SetDown(true)
		wait.For(ctx, time.Duration(random.IntN(40))*time.Millisecond)
		client.SetDown(false)
		wait.For(ctx, time.Duration(random.IntN(40))*time.Millisecond)
	}
}

// runToCompletion waits for all proposers to finish, then removes the faults from
// the log.
func (r *propertyRun) runToCompletion(seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	var injectors, proposers sync.WaitGroup
	injectors.Go(func() { r.injectFaults(ctx, rand.New(rand.NewPCG(seed, 0))) })
	for daemon := range r.streams {
		for proposer := range propertyProposers {
			random := rand.New(rand.NewPCG(seed, uint64(1+daemon*propertyProposers+proposer)))
			proposers.Go(func() { r.propose(daemon, proposer, random) })
		}
	}
	proposers.Wait()
	cancel()
	injectors.Wait()
	for _, client := range r.clients {
		client.SetDown(false)
		client.SetFaults(fakes.LogFaults{})
		client.WaitLate()
	}
}

var _ = ginkgo.Describe("Streams on a faulty log", func() {
	for seed := uint64(1); seed <= 6; seed++ {
		ginkgo.It(fmt.Sprintf("converge, apply accepted proposals exactly once and unsent proposals never, seed %d", seed), func() {
			run := startPropertyRun(seed)
			last := make([]infra.Offset, propertyDaemons)
			run.runToCompletion(seed)
			settled := func() bool {
				for i, s := range run.streams {
					ExpectWithOffset(1, s.Next()).To(BeNumerically(">=", last[i]), "the next offset of a fold decreased")
					last[i] = s.Next()
					if s.Next() != logEnd(run.log) {
						return false
					}
				}
				return true
			}
			Eventually(settled, eventuallyTimeout, pollInterval).Should(BeTrue())
			run.checkAgreement()
			run.checkReported()
		})
	}
})

func (r *propertyRun) checkAgreement() {
	chains := map[infra.Offset]uint64{}
	compared := uint64(0)
	for i, s := range r.streams {
		s.Read(func(f *listFold) {
			Expect(f.Values).To(Equal(r.folds[0].Values), "daemon %d", i)
			for offset, chain := range f.trace {
				if known, ok := chains[offset]; ok {
					Expect(chain).To(Equal(known), "daemon %d at offset %d", i, offset)
				}
				chains[offset] = chain
			}
		})
		compared += s.counters.snapshots.Get()
		Expect(s.counters.divergences.Get()).To(BeZero())
		Expect(s.Refused()).NotTo(HaveOccurred())
	}
	Expect(compared).To(BeNumerically(">", 1))
}

func (r *propertyRun) checkReported() {
	accepted, uncertain := 0, 0
	r.streams[0].Read(func(f *listFold) {
		for _, t := range r.reported {
			switch {
			case t.accepted:
				accepted++
				Expect(f.count(t.value)).To(Equal(1), "accepted value %d", t.value)
			case t.sent:
				uncertain++
				Expect(f.count(t.value)).To(BeNumerically("<=", 1), "value with unknown outcome %d", t.value)
			default:
				Expect(f.count(t.value)).To(BeZero(), "void or unsent value %d", t.value)
			}
		}
	})
	Expect(accepted).To(BeNumerically(">", 0))
	Expect(uncertain).To(BeNumerically(">", 0))
	ginkgo.GinkgoWriter.Println("reported accepted", accepted, "doubtful", uncertain, "of", len(r.reported))
}
