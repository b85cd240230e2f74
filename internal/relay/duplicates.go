package relay

import (
	"sync"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// maxDuplicatesPerGroup is the maximum number of equal requests that are placed on
// the same group. It limits how far a request sent by many callers deviates from
// routing by load.
const maxDuplicatesPerGroup = 8

// duplicates tracks, by fingerprint, the group on which equal requests of this daemon
// are in progress. Equal requests share a group, so that a request that crashes the
// endpoint takes down one group instead of several.
type duplicates struct {
	mu     sync.Mutex // held only for a look-up
	groups map[uint64]*duplicateGroup
}

func newDuplicates() *duplicates { return &duplicates{groups: map[uint64]*duplicateGroup{}} }

// begin returns the group on which equal requests are in progress, if another one may
// join them there, otherwise the preferred group. The caller must call end once.
func (d *duplicates) begin(fingerprint uint64, preferred fleet.FencingNumber, canJoin func(fleet.FencingNumber) bool) (group fleet.FencingNumber, end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, ok := d.groups[fingerprint]
	if !ok || entry.count >= maxDuplicatesPerGroup || !canJoin(entry.group) {
		entry = &duplicateGroup{group: preferred}
		d.groups[fingerprint] = entry
	}
	entry.count++
	return entry.group, func() { d.end(fingerprint, entry) }
}

func (d *duplicates) end(fingerprint uint64, entry *duplicateGroup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry.count--
	if entry.count == 0 && d.groups[fingerprint] == entry {
		delete(d.groups, fingerprint)
	}
}
