package suspect

import (
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Claims holds the claims on the groups of a data centre: at most one suspect for each
// group, and at most one group for each suspect.
type Claims struct {
	self fleet.DaemonID

	mu      sync.Mutex
	byGroup map[fleet.FencingNumber]Claim
}

// NewClaims returns an empty set of claims for the daemon self.
func NewClaims(self fleet.DaemonID) *Claims {
	return &Claims{self: self, byGroup: map[fleet.FencingNumber]Claim{}}
}

// Take claims a group for a suspect. It returns false if the group or the suspect has
// a claim already.
func (c *Claims) Take(group fleet.FencingNumber, fingerprint uint64, now, until time.Time) (Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpired(now)
	for _, claim := range c.byGroup {
		if claim.Group == group || claim.Fingerprint == fingerprint {
			return Claim{}, false
		}
	}
	claim := Claim{Holder: c.self, Group: group, Fingerprint: fingerprint, Until: until}
	c.byGroup[group] = claim
	return claim, true
}

// Apply applies the claim of another daemon, or its end. When two daemons claim the same group or
// suspect concurrently, the one with the lower name wins.
func (c *Claims) Apply(claim Claim, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpired(now)
	if claim.Until.IsZero() {
		c.drop(claim)
		return
	}
	for group, existing := range c.byGroup {
		conflicts := existing.Group == claim.Group || existing.Fingerprint == claim.Fingerprint
		if conflicts && existing.Holder < claim.Holder {
			return
		}
		if conflicts {
			delete(c.byGroup, group)
		}
	}
	c.byGroup[claim.Group] = claim
}

// Holds reports whether a claim is still held.
func (c *Claims) Holds(claim Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byGroup[claim.Group] == claim
}

// Release drops a claim of this daemon.
func (c *Claims) Release(claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(claim)
}

func (c *Claims) drop(claim Claim) {
	existing, ok := c.byGroup[claim.Group]
	if ok && existing.Holder == claim.Holder && existing.Fingerprint == claim.Fingerprint {
		delete(c.byGroup, claim.Group)
	}
}

func (c *Claims) dropExpired(now time.Time) {
	for group, claim := range c.byGroup {
		if !now.Before(claim.Until) {
			delete(c.byGroup, group)
		}
	}
}
