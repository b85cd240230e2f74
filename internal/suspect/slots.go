package suspect

import (
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Slots holds the claims on the groups of a data centre: at most one suspect a
// group, and at most one group a suspect.
type Slots struct {
	self fleet.DaemonID

	mu     sync.Mutex
	claims map[fleet.FencingNumber]Claim
}

// NewSlots returns slots without claims.
func NewSlots(self fleet.DaemonID) *Slots {
	return &Slots{self: self, claims: map[fleet.FencingNumber]Claim{}}
}

// Take claims a group for a suspect. It returns false when the group or the
// suspect is taken.
func (s *Slots) Take(group fleet.FencingNumber, fingerprint uint64, now, until time.Time) (Claim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropEnded(now)
	for _, claim := range s.claims {
		if claim.Group == group || claim.Fingerprint == fingerprint {
			return Claim{}, false
		}
	}
	claim := Claim{Holder: s.self, Group: group, Fingerprint: fingerprint, Until: until}
	s.claims[group] = claim
	return claim, true
}

// Learn applies the claim of another daemon. Of two daemons that claim one
// group or one suspect at once, the one with the lower name keeps it.
func (s *Slots) Learn(claim Claim, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropEnded(now)
	if claim.Until.IsZero() {
		s.drop(claim)
		return
	}
	for group, held := range s.claims {
		rival := held.Group == claim.Group || held.Fingerprint == claim.Fingerprint
		if rival && held.Holder < claim.Holder {
			return
		}
		if rival {
			delete(s.claims, group)
		}
	}
	s.claims[claim.Group] = claim
}

// Holds reports whether a claim still stands.
func (s *Slots) Holds(claim Claim) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims[claim.Group] == claim
}

// Release ends an own claim.
func (s *Slots) Release(claim Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(claim)
}

func (s *Slots) drop(claim Claim) {
	held, ok := s.claims[claim.Group]
	if ok && held.Holder == claim.Holder && held.Fingerprint == claim.Fingerprint {
		delete(s.claims, claim.Group)
	}
}

func (s *Slots) dropEnded(now time.Time) {
	for group, claim := range s.claims {
		if !now.Before(claim.Until) {
			delete(s.claims, group)
		}
	}
}
