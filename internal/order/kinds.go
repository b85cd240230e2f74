package order

import "github.com/plantainmux/plantainmux/internal/logstream"

// Kinds of records of an order stream.
const (
	KindClaim      logstream.Kind = "claim"
	KindOutcome    logstream.Kind = "outcome"
	KindWithdrawal logstream.Kind = "withdrawal"
	KindDoubt      logstream.Kind = "doubt"
	KindSettlement logstream.Kind = "settlement"
	KindDirectRun  logstream.Kind = "direct_run"
	KindTick       logstream.Kind = "tick" // no effect but to advance the stream's clock
)
