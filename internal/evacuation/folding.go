package evacuation

import "time"

// folding applies statements to a state and collects the changes.
type folding struct {
	state   *State
	now     time.Time
	source  Source
	changes []Change
}

// recordStates applies a record that was appended after what has been read.
func (f *folding) recordStates(name string, said statement) {
	known, ok := f.state.dataCentres[name]
	if !ok || said.newer(known.statement) {
		f.adopt(name, said)
	}
}

// topicStates applies what the whole topic says. After a restore of the store, that is the content
// of the copy and of records that were appended since, which cannot always be told apart.
func (f *folding) topicStates(name string, said statement) {
	known, ok := f.state.dataCentres[name]
	sameEra := said.position.Era == known.position.Era
	switch {
	case ok && !said.newer(known.statement):
		// Known already, or replaced since.
	case !ok, sameEra, said.evacuated == known.evacuated, said.written(known.statement):
		f.adopt(name, said)
	case known.pending != nil && said.newer(*known.pending) && said.written(*known.pending):
		f.adopt(name, said) // written since the copy was read
	default:
		f.hold(name, said)
	}
}

// daemonStates applies what another daemon tells.
func (f *folding) daemonStates(name string, said statement) {
	state := f.state
	switch {
	case state.synced && said.position.Era < state.era:
		f.earlierEra(name, said)
	case state.synced && said.position.Era == state.era && said.position.Offset < state.end:
		// This daemon has read the topic beyond it.
	default:
		f.topicStates(name, said)
	}
}

// earlierEra applies what another daemon knows from before the store was restored. It holds for as
// long as that daemon stays with it, also at a daemon that started with the copy.
func (f *folding) earlierEra(name string, said statement) {
	known, ok := f.state.dataCentres[name]
	until := f.state.eraReadAt.Add(HoldPeriod)
	switch {
	case ok && known.pending != nil && said.newer(known.statement):
		f.adoptUntil(name, said, *known.pending, known.pendingUntil)
	case !ok && said.evacuated && f.now.Before(until) && said.position.Ordinal() >= f.state.earlierEnd.Ordinal():
		f.adoptUntil(name, said, unwritten(f.state.era, f.state.end), until)
		adopted := f.state.dataCentres[name]
		adopted.unconfirmed = true
		f.state.dataCentres[name] = adopted
	}
}

// adoptUntil makes a statement what is known until a time, from which on the copy holds.
func (f *folding) adoptUntil(name string, said, pending statement, until time.Time) {
	f.adopt(name, said)
	known := f.state.dataCentres[name]
	known.pending, known.pendingUntil = &pending, until
	f.state.dataCentres[name] = known
}

// hold keeps what is known for HoldPeriod, after which the copy holds.
func (f *folding) hold(name string, said statement) {
	known := f.state.dataCentres[name]
	if known.pending != nil && known.pending.position.Era == said.position.Era {
		return
	}
	known.pending, known.pendingUntil = &said, f.now.Add(HoldPeriod)
	f.state.dataCentres[name] = known
	f.changes = append(f.changes, Change{DataCentre: name, Kind: Held, Position: said.position, Source: f.source})
}

// adopt makes a statement what is known.
func (f *folding) adopt(name string, said statement) {
	known := f.state.dataCentres[name]
	next := dataCentre{statement: said, changedAt: known.changedAt, withdrawnAt: known.withdrawnAt, source: known.source}
	if said.evacuated != known.evacuated {
		next.changedAt, next.source = f.now, f.source
		kind := Started
		if !said.evacuated {
			next.withdrawnAt = f.now
			kind = Ended
		}
		f.changes = append(f.changes, Change{DataCentre: name, Kind: kind, Position: said.position, Source: f.source})
	}
	f.state.dataCentres[name] = next
}
