package config

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/logstream"
)

// Store holds the configuration that is in force on this daemon. Its version only
// increases, regardless of the source. Reading is one atomic load; Store is safe
// for concurrent use.
type Store struct {
	current atomic.Pointer[InForce]
}

// InForce is a configuration with the source and the time of its coming into
// force on this daemon. It is immutable.
type InForce struct {
	Versioned
	Source Source
	Since  time.Time // when it came into force, by this daemon's clock
	Digest uint64    // hash of version and configuration; equal on all daemons
}

// NewStore returns a store that has no configuration yet.
func NewStore() *Store {
	s := &Store{}
	s.current.Store(&InForce{})
	return s
}

// Load returns the configuration in force.
func (s *Store) Load() *InForce { return s.current.Load() }

// Offer puts a configuration in force if its version is higher than the one in
// force, and reports whether it did.
func (s *Store) Offer(offered Versioned, source Source, now time.Time) bool {
	if offered.Version <= s.current.Load().Version {
		return false
	}
	next := &InForce{Versioned: offered, Source: source, Since: now, Digest: digest(offered)}
	for {
		old := s.current.Load()
		if offered.Version <= old.Version {
			return false
		}
		if s.current.CompareAndSwap(old, next) {
			return true
		}
	}
}

func digest(versioned Versioned) uint64 {
	data, err := logstream.Marshal(versioned)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// Took returns the time from the publication, by the publisher's clock, until the
// configuration came into force, by this daemon's clock. It includes the offset
// between the two clocks, and is 0 if there is no configuration.
func (f *InForce) Took() time.Duration {
	if f.Version == 0 {
		return 0
	}
	return f.Since.Sub(time.UnixMilli(f.PublishedMillis))
}
