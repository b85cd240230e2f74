package order

import (
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// claim grants a key to the first claimant. It grants the key again only after the
// claimant proved that the order did not run.
func (f *Fold) claim(at logstream.Position, claim Claim) error {
	if record, ok := f.records.find(claim.Key); ok && record.State != NotRan {
		return &ClaimedError{Record: record}
	}
	f.put(f.newRecord(at, claim, Claimed))
	return nil
}

// newRecord returns a record whose lifetime starts at the current stream time. A
// key always outlives the deadline of its order plus unclearAfter, so that an
// unsettled claim can still be marked as unclear.
func (f *Fold) newRecord(at logstream.Position, claim Claim, state State) Record {
	lifetime := min(claim.LifetimeMillis, maxKeyLifetime.Milliseconds())
	timeout := claim.DeadlineMillis - at.Time.UnixMilli()
	unsettled := max(0, min(timeout, maxKeyLifetime.Milliseconds())) + 2*unclearAfter.Milliseconds()
	return Record{
		Claim:         claim,
		Offset:        at.Offset,
		Writer:        at.Writer,
		ClaimedMillis: at.Time.UnixMilli(),
		ExpiresMillis: f.clock.now() + max(lifetime, unsettled) + lifetimeMargin.Milliseconds(),
		State:         state,
	}
}

// ifUnclear returns count if the order is unclear and 0 otherwise.
func (r Record) ifUnclear(count int) int {
	if r.State == Unclear {
		return count
	}
	return 0
}

func (f *Fold) put(record Record) {
	key := record.Claim.Key
	old, ok := f.records.find(key)
	if !ok || old.ExpiresMillis != record.ExpiresMillis {
		f.expiries.add(key, record.ExpiresMillis)
	}
	f.unclear += old.ifUnclear(-1) + record.ifUnclear(1)
	f.records.put(key, record)
}

// outcome applies the outcome that the claimant recorded. "Ran" overrides an
// operator's settlement made in the meantime; "not run" does not, so a closed key
// is never released.
func (f *Fold) outcome(at logstream.Position, outcome Outcome) error {
	record, ok := f.records.find(outcome.Key)
	if !ok || record.Offset != outcome.Claim || record.Writer != at.Writer {
		return &NotClaimantError{Key: outcome.Key}
	}
	open := record.State == Claimed || record.State == Unclear
	settledByOperator := record.Operator != "" && !record.AnswerKept
	if !open && (!settledByOperator || outcome.State != Ran) {
		return &NotClaimantError{Key: outcome.Key}
	}
	record.State = outcome.State
	record.AnswerKept = outcome.AnswerKept
	record.Answer = outcome.Answer
	f.put(record)
	return nil
}

func (f *Fold) withdraw(at logstream.Position, withdrawal Withdrawal) error {
	record, ok := f.records.find(withdrawal.Key)
	if !ok || !record.isAttempt(at.Writer, withdrawal.Attempt) {
		return &NotClaimantError{Key: withdrawal.Key}
	}
	if record.State != Claimed && record.State != Unclear {
		return &NotClaimantError{Key: withdrawal.Key}
	}
	record.State = NotRan
	f.put(record)
	return nil
}

func (r Record) isAttempt(writer string, attempt uint64) bool {
	return r.Writer == writer && r.Claim.Attempt == attempt
}

func (f *Fold) doubt(at logstream.Position, doubt Doubt) error {
	record, ok := f.records.find(doubt.Key)
	if !ok || record.Offset != doubt.Claim {
		return &NotClaimantError{Key: doubt.Key}
	}
	if !record.overdue(at.Time) {
		return &NotOverdueError{Key: doubt.Key}
	}
	record.State = Unclear
	record.DoubtedBy = doubt.By
	record.DoubtedMillis = at.Time.UnixMilli()
	f.put(record)
	return nil
}

// settle applies an operator's settlement. "Not run" closes the key for good,
// because a paused claimant may still resume and dispatch the order.
func (f *Fold) settle(at logstream.Position, settlement Settlement) error {
	record, ok := f.records.find(settlement.Key)
	if !ok || record.Offset != settlement.Claim {
		return &NotClaimantError{Key: settlement.Key}
	}
	if record.State != Unclear {
		return &NotUnclearError{Key: settlement.Key, State: record.State}
	}
	record.State = Closed
	if settlement.Ran {
		record.State = Ran
	}
	record.Operator = settlement.Operator
	record.SettledMillis = at.Time.UnixMilli()
	f.put(record)
	return nil
}

// directRun records a run without a claim, unless another attempt has claimed the
// key in the meantime.
func (f *Fold) directRun(at logstream.Position, run DirectRun) error {
	record, ok := f.records.find(run.Claim.Key)
	free := !ok || record.State == NotRan || record.isAttempt(at.Writer, run.Claim.Attempt)
	if !free {
		return &ClaimedError{Record: record}
	}
	record = f.newRecord(at, run.Claim, run.Outcome.State)
	record.Direct = true
	record.AnswerKept = run.Outcome.AnswerKept
	record.Answer = run.Outcome.Answer
	f.put(record)
	return nil
}
