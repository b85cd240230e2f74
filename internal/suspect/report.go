package suspect

import "time"

// Report is what a daemon knows of one trait, in the form in which daemons that exchange their
// state by datagrams tell each other.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Part    bool     // the trait is a part of a prompt; false: a whole request
	Hash    uint64
	Sound   bool // requests with the part were answered before the crashes
	AgeMS   int  // milliseconds since the newest crash, refusal or trial
	Crashes []ReportedCrash
}

// ReportedCrash is one crash of a Report.
type ReportedCrash struct {
	_       struct{} `cbor:",toarray"`
	Group   uint64   // identifies the group in the fleet
	AgeMS   int      // milliseconds since the crash
	Cleared bool     // it counts no more
}

func (c ReportedCrash) at(now time.Time) time.Time {
	return now.Add(-time.Duration(c.AgeMS) * time.Millisecond)
}
