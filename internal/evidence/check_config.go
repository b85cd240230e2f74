package evidence

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// checkConfigurationHolds checks that each daemon put every published version in
// force within the bounds, and never returned to an older version.
func checkConfigurationHolds(records Records, digests []digestItem, span Span, bounds Bounds) *Finding {
	f := newFinding(ConfigurationHolds, "daemons that appended no digest")
	published, void := publications(records.Config)
	c := &configCheck{finding: f, published: published, bounds: bounds, current: map[fleet.DaemonID]infra.Offset{}}
	for _, digest := range digests {
		c.checkDigest(digest)
	}
	f.checked("accepted configurations", countInSpan(published, span))
	f.checked("void publications", void)
	f.checked("daemons", uint64(len(c.current)))
	f.checked("changes put in force, by daemon", c.changes)
	f.checked("slowest change in milliseconds", uint64(max(c.slowestMS, 0)))
	if !records.Config.complete() {
		f.NotKnown = append(f.NotKnown, fmt.Sprintf("configurations before offset %d have expired", records.Config.Oldest))
	}
	return f
}

// publications returns the publication time of each accepted version, in Unix
// milliseconds, and the number of void publications.
func publications(h History) (published map[infra.Offset]int64, void uint64) {
	published = map[infra.Offset]int64{}
	fold := config.NewFold()
	for _, item := range h.Items {
		if item.Entry.Kind == logstream.KindSnapshot {
			restoreSnapshot(fold, item, len(published) == 0)
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

// restoreSnapshot initialises the fold of a stream whose first records have
// expired.
func restoreSnapshot(fold *config.Fold, item Item, first bool) {
	if !first || fold.Current().Version != 0 {
		return
	}
	if _, state, err := logstream.DecodeSnapshot(item.Entry.Body); err == nil {
		_ = fold.Decode(state)
	}
}

func countInSpan(published map[infra.Offset]int64, span Span) uint64 {
	var count uint64
	for _, at := range published {
		if span.contains(at) {
			count++
		}
	}
	return count
}

// configCheck tracks the version in force on each daemon.
type configCheck struct {
	finding   *Finding
	published map[infra.Offset]int64
	bounds    Bounds
	current   map[fleet.DaemonID]infra.Offset
	changes   uint64
	slowestMS int64
}

func (c *configCheck) checkDigest(digest digestItem) {
	for _, version := range digest.Versions {
		c.checkVersion(digest, version)
	}
	c.checkMissed(digest)
}

func (c *configCheck) checkVersion(digest digestItem, v VersionInForce) {
	before, known := c.current[digest.Daemon]
	if known && v.Version < before {
		c.finding.breach(digest.stream, digest.item, fmt.Sprintf(
			"daemon %s reverted from version %d to %d", digest.Daemon, before, v.Version))
	}
	c.current[digest.Daemon] = v.Version
	at, accepted := c.published[v.Version]
	if !known || !accepted {
		return
	}
	c.changes++
	delayMS := v.At - at
	c.slowestMS = max(c.slowestMS, delayMS)
	if c.exceedsBounds(delayMS) {
		c.finding.breach(digest.stream, digest.item, fmt.Sprintf(
			"daemon %s put version %d in force after %s", digest.Daemon, v.Version, time.Duration(delayMS)*time.Millisecond))
	}
}

// checkMissed looks for versions that were published longer than the bounds before
// the end of a digest and are not in force on its daemon.
func (c *configCheck) checkMissed(digest digestItem) {
	inForce, known := c.current[digest.Daemon]
	if !known {
		return
	}
	for _, version := range sortedKeys(c.published) {
		at := c.published[version]
		if version > inForce && at >= digest.From && c.exceedsBounds(digest.To-at) {
			c.finding.breach(digest.stream, digest.item, fmt.Sprintf(
				"daemon %s had not put version %d in force after %s", digest.Daemon, version, time.Duration(digest.To-at)*time.Millisecond))
		}
	}
}

func (c *configCheck) exceedsBounds(delayMS int64) bool {
	return delayMS > (c.bounds.ConfigDelay + c.bounds.ClockSkew).Milliseconds()
}
