package testbed

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

// tryInterval is the time between two requests to a daemon.
const tryInterval = 40 * time.Millisecond

// FirstTries counts the requests of callers who come once.
type FirstTries struct {
	Sent, Served int
	Unserved     map[string]int // by what the caller saw
}

func (t FirstTries) share() float64 { return float64(t.Served) / float64(max(t.Sent, 1)) }

func (t *FirstTries) record(served bool, seen string) {
	t.Sent++
	if served {
		t.Served++
		return
	}
	if t.Unserved == nil {
		t.Unserved = map[string]int{}
	}
	t.Unserved[seen]++
}

func (t *FirstTries) add(other FirstTries) {
	t.Sent += other.Sent
	t.Served += other.Served
	for seen, count := range other.Unserved {
		if t.Unserved == nil {
			t.Unserved = map[string]int{}
		}
		t.Unserved[seen] += count
	}
}

// SendFirstTries sends requests to daemons at a constant rate until a time, and counts for each daemon
// those sent later than from. try sends one, and returns whether it was served and what the caller saw.
func SendFirstTries(daemons int, from, until time.Time, try func(daemon, round int) (served bool, seen string)) []FirstTries {
	counted := make([]FirstTries, daemons)
	var mu sync.Mutex
	var wait sync.WaitGroup
	send := func(daemon, round int) {
		defer GinkgoRecover()
		began := time.Now()
		served, seen := try(daemon, round)
		if began.Before(from) {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		counted[daemon].record(served, fmt.Sprintf("%s after %v", seen, time.Since(began).Round(100*time.Millisecond)))
	}
	for round := 0; time.Now().Before(until); round++ {
		for daemon := range daemons {
			wait.Go(func() { send(daemon, round) })
		}
		time.Sleep(tryInterval)
	}
	wait.Wait()
	return counted
}
