package evidence

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// checkConfigurationHolds compares when daemons put versions in force with when
// they were published.
func checkConfigurationHolds(records Records, digests []digestItem, span Span, bounds Bounds) *Finding {
	f := newFinding(ConfigurationHolds, "daemons that left no digest")
	published, void := publications(records.Config)
	c := &configCheck{finding: f, published: published, bounds: bounds, last: map[fleet.DaemonID]infra.Offset{}}
	for _, digest := range digests {
		c.daemonSpan(digest)
	}
	f.checked("accepted configurations", inSpan(published, span))
	f.checked("void publications", void)
	f.checked("daemons", uint64(len(c.last)))
	f.checked("changes put in force, by daemon", c.changes)
	f.checked("slowest change in milliseconds", uint64(max(c.slowest, 0)))
	if !records.Config.whole() {
		f.NotKnown = append(f.NotKnown, fmt.Sprintf("configurations before offset %d have expired", records.Config.Oldest))
	}
	return f
}

// publications returns the publication time of each accepted version, in Unix
// milliseconds.
func publications(h History) (published map[infra.Offset]int64, void uint64) {
	published = map[infra.Offset]int64{}
	fold := config.NewFold()
	for _, item := range h.Items {
		if item.Entry.Kind == logstream.KindSnapshot {
			adoptSnapshot(fold, item, len(published) == 0)
			continue
		}
		if item.Entry.Kind == logstream.KindFence {
			continue
		}
		if fold.Apply(item.position(), item.Entry.Kind, item.Entry.Body) != nil {
			void++
			continue
		}
		published[item.Offset] = item.Entry.Millis
	}
	return published, void
}

// adoptSnapshot starts the fold of a stream whose first records have expired.
func adoptSnapshot(fold *config.Fold, item Item, first bool) {
	if !first || fold.Current().Version != 0 {
		return
	}
	if _, state, err := logstream.DecodeSnapshot(item.Entry.Body); err == nil {
		_ = fold.Decode(state)
	}
}

func inSpan(published map[infra.Offset]int64, span Span) uint64 {
	var count uint64
	for _, at := range published {
		if span.has(at) {
			count++
		}
	}
	return count
}

// configCheck follows the versions of each daemon.
type configCheck struct {
	finding   *Finding
	published map[infra.Offset]int64
	bounds    Bounds
	last      map[fleet.DaemonID]infra.Offset
	changes   uint64
	slowest   int64 // milliseconds
}

func (c *configCheck) daemonSpan(digest digestItem) {
	for _, version := range digest.Versions {
		c.version(digest, version)
	}
	c.missed(digest)
}

func (c *configCheck) version(digest digestItem, v VersionInForce) {
	before, known := c.last[digest.Daemon]
	if known && v.Version < before {
		c.finding.breach(digest.stream, digest.item, fmt.Sprintf(
			"daemon %s went back from version %d to %d", digest.Daemon, before, v.Version))
	}
	c.last[digest.Daemon] = v.Version
	at, accepted := c.published[v.Version]
	if !known || !accepted {
		return
	}
	c.changes++
	late := v.At - at
	c.slowest = max(c.slowest, late)
	if c.tooLate(late) {
		c.finding.breach(digest.stream, digest.item, fmt.Sprintf(
			"daemon %s put version %d in force after %s", digest.Daemon, v.Version, time.Duration(late)*time.Millisecond))
	}
}

// missed looks for versions that were published long before the end of a
// digest and are not in force on its daemon.
func (c *configCheck) missed(digest digestItem) {
	inForce, known := c.last[digest.Daemon]
	if !known {
		return
	}
	for _, version := range sortedKeys(c.published) {
		at := c.published[version]
		if version > inForce && at >= digest.From && c.tooLate(digest.To-at) {
			c.finding.breach(digest.stream, digest.item, fmt.Sprintf(
				"daemon %s had not put version %d in force after %s", digest.Daemon, version, time.Duration(digest.To-at)*time.Millisecond))
		}
	}
}

func (c *configCheck) tooLate(late int64) bool {
	return late > (c.bounds.ConfigSpread + c.bounds.ClockSkew).Milliseconds()
}
