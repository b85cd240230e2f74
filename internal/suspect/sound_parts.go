package suspect

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	soundTTL      = 10 * time.Minute // for which a part counts as sound after a request with it was answered
	soundRefresh  = 10 * time.Second // between two updates of the time of a part
	maxSoundParts = 16384            // bounds the memory
)

// soundParts holds the prompt parts of requests that were answered lately.
type soundParts struct {
	answered sync.Map // time.Time of the newest answer, by part
	count    atomic.Int64
}

func (p *soundParts) add(parts []uint64, now time.Time) {
	for _, part := range parts[:min(len(parts), maxParts)] {
		at, known := p.answered.Load(part)
		if known && now.Sub(at.(time.Time)) < soundRefresh || !known && p.count.Load() >= maxSoundParts {
			continue
		}
		if _, replaced := p.answered.Swap(part, now); !replaced {
			p.count.Add(1)
		}
	}
}

func (p *soundParts) contains(part uint64, now time.Time) bool {
	at, known := p.answered.Load(part)
	return known && now.Sub(at.(time.Time)) < soundTTL
}

func (p *soundParts) prune(now time.Time) {
	p.answered.Range(func(part, at any) bool {
		if now.Sub(at.(time.Time)) >= soundTTL && p.answered.CompareAndDelete(part, at) {
			p.count.Add(-1)
		}
		return true
	})
}
