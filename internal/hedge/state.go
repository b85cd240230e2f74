package hedge

import "time"

// State describes a request and the newest of its attempts in progress.
type State struct {
	Repeatable bool // the request may run again, after the part that the caller has
	Withdrawn  bool // the request must not run any more
	Begun      bool // the attempt has brought output
	HeldBack   bool // the answer is not read, because of the caller

	Ran         int // attempts that may have run, including those in progress
	MaxAttempts int // that may run
	Sent        int // attempts that were sent, including those that did not run
	MaxSent     int
	Remaining   time.Duration // time until the deadline

	Silence        time.Duration // time without output of the attempt
	SilenceTimeout time.Duration // of its target
	TargetSilent   bool          // no request at the target brings output
	Superseded     bool          // the target is no longer in use
	Busy           int           // targets that serve the same requests and have any in progress
	BusySilent     int           // those of them that are silent
	SlowAfter      time.Duration // time without output after which the attempt is slow; 0: never
}
