//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// joinWatch notes each breach of rule TWO: an engine takes a join of another group while the head of its group is open, or
// stands still and isn't yet broken.
type joinWatch struct {
	mu       sync.Mutex
	breaches []string
}

func (j *joinWatch) first() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.breaches) == 0 {
		return ""
	}
	return "TWO: " + j.breaches[0]
}

func watchJoins(engines map[string]*engine) *joinWatch {
	j := &joinWatch{}
	onJoin = func(e *engine, joined *group) {
		old := e.group
		if old == nil || old.Name == joined.Name || len(old.members) < 2 {
			return
		}
		head := engines[old.members[0]]
		if head == nil || head == e {
			return // a head that joins another group ends its own
		}
		head.mu.Lock()
		current := head.group
		open := current != nil && current.Name == old.Name && current.Epoch == old.Epoch && current.State == "open"
		head.mu.Unlock()
		if !open {
			return
		}
		text := fmt.Sprintf("engine %s takes a join of group %q epoch %d while its group %q epoch %d is open at its head %s", e.id, joined.Name, joined.Epoch, old.Name, old.Epoch, head.id)
		note("%s", text)
		j.mu.Lock()
		j.breaches = append(j.breaches, text)
		j.mu.Unlock()
		head.standStill(current)
	}
	return j
}

// streams are clients that ask all daemons for streams, each daemon for one in each gap.
type streams struct {
	served, failed atomic.Int32
	stopped        chan struct{}
}

func startStreams(daemons []*daemon, gap time.Duration) *streams {
	s := &streams{stopped: make(chan struct{})}
	for _, d := range daemons {
		go func() {
			for number := 0; ; number++ {
				select {
				case <-s.stopped:
					return
				case <-time.After(gap):
				}
				go s.ask(d, number)
			}
		}()
	}
	return s
}

func (s *streams) ask(d *daemon, number int) {
	headers := map[string]string{"Model": "m0", "Token-Usage": "100,10", "Prompt-Prefix": fmt.Sprintf("a1:40,%x:60", number)}
	o := ask(d.callers, "POST", "/talk/x", fmt.Sprintf("%s-%d", d.name, number), headers, []byte(fmt.Sprintf("%s %d", d.name, number)), 4*time.Second)
	if o.complete() && o.status == http.StatusOK {
		s.served.Add(1)
	} else {
		s.failed.Add(1)
	}
}

func (s *streams) stop() { close(s.stopped) }

// String returns the counts.
func (s *streams) String() string {
	return fmt.Sprintf("%d served, %d not", s.served.Load(), s.failed.Load())
}

func describe(e *engine) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.group == nil {
		return "in no group"
	}
	return fmt.Sprintf("rank %d of group %q epoch %d, %s", e.group.Rank, e.group.Name, e.group.Epoch, e.group.State)
}
