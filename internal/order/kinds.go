package order

import "github.com/plantainmux/plantainmux/internal/logstream"

// Kinds of records in an order stream.
const (
	KindClaim      logstream.Kind = "claim"
	KindOutcome    logstream.Kind = "outcome"
	KindWithdrawal logstream.Kind = "withdrawal"
	KindDoubt      logstream.Kind = "doubt"
	KindSettlement logstream.Kind = "settlement"
	KindDirectRun  logstream.Kind = "direct_run"
	KindTick       logstream.Kind = "tick" // only advances stream time
)
