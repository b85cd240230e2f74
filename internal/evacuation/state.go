package evacuation

import (
	"maps"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

const (
	// HoldPeriod is how long the knowledge of a daemon outlasts a restore of the store from an older
	// copy: operators write what was lost again within 5 s.
	HoldPeriod = 5 * time.Second
	// toldPeriod is how long a change is told: 14 times the delay of gossip in a fleet of 300 daemons.
	toldPeriod = 10 * time.Second
	// maxToldName keeps a report below 60 bytes: 12 of them are the position and the encoding.
	maxToldName = 46
	maxTold     = 32 // reports in a datagram, so that they take 2 of its 16 KB at most
)

// State is what a daemon knows of all data centres. It is immutable.
type State struct {
	synced      bool // the topic has been read to its end once
	era         uint64
	eraReadAt   time.Time      // when the era was first read
	end         uint64         // offset up to which the topic has been read
	earlierEnd  keyed.Position // the same in the previous era that was read; zero: none
	dataCentres map[string]dataCentre
}

// Fold returns the state after a batch of the operators' topic, and what it changed. The records
// of data centres have the given prefix; a data centre without a name is ignored.
func (s State) Fold(batch keyed.Batch, prefix string, now time.Time) (State, []Change) {
	if !batch.Complete && len(batch.Records) == 0 {
		return s, nil
	}
	next := s.copied()
	if s.synced && batch.Era > s.era {
		next.earlierEnd = keyed.Position{Era: s.era, Offset: s.end}
	}
	if !s.synced || batch.Era > s.era {
		next.eraReadAt = now
	}
	next.synced, next.era = true, batch.Era
	next.end = batch.End
	f := folding{state: &next, now: now, source: FromStore}
	named := map[string]bool{}
	for _, record := range batch.Records {
		name := nameOf(record.Key, prefix)
		if name == "" {
			continue
		}
		named[name] = true
		said := statement{position: keyed.Position{Era: batch.Era, Offset: record.Offset}, evacuated: len(record.Value) > 0}
		if batch.Complete {
			f.topicStates(name, said)
		} else {
			f.recordStates(name, said)
		}
	}
	if batch.Complete {
		for name, known := range s.dataCentres {
			if !named[name] && (known.position.Era < batch.Era || known.position.Offset < batch.End) {
				f.topicStates(name, unwritten(batch.Era, batch.End))
			}
		}
	}
	return next, f.changes
}

// Merge returns the state after reports of another daemon, and what they changed. Reports may come
// twice, late and in any order.
func (s State) Merge(reports []Report, now time.Time) (State, []Change) {
	if len(reports) == 0 {
		return s, nil
	}
	next := s.copied()
	f := folding{state: &next, now: now, source: FromDaemon}
	for _, report := range reports {
		if report.DataCentre != "" {
			f.daemonStates(report.DataCentre, report.statement())
		}
	}
	return next, f.changes
}

// Settle returns the state in which the copy holds that the store was restored from, where
// HoldPeriod is over, and what that changed.
func (s State) Settle(now time.Time) (State, []Change) {
	if !s.due(now) {
		return s, nil
	}
	next := s.copied()
	f := folding{state: &next, now: now, source: FromCopy}
	for name, known := range s.dataCentres {
		if known.due(now) {
			f.adopt(name, *known.pending)
		}
	}
	return next, f.changes
}

func (s State) due(now time.Time) bool {
	for _, known := range s.dataCentres {
		if known.due(now) {
			return true
		}
	}
	return false
}

func (d dataCentre) due(now time.Time) bool { return d.pending != nil && !now.Before(d.pendingUntil) }

func (s State) copied() State {
	s.dataCentres = maps.Clone(s.dataCentres)
	if s.dataCentres == nil {
		s.dataCentres = map[string]dataCentre{}
	}
	return s
}
