package logstream

// proposal is a record that is queued or being appended.
type proposal struct {
	kind           Kind
	body           []byte
	seq            uint64 // sequence number; 0 until the proposal is in a batch
	data           []byte // encoded record, identical in each retry
	sent           bool   // an append of it may have succeeded
	abandoned      bool   // the caller of Propose has returned
	outcomeUnknown bool   // an append of it had an unknown outcome
	reply          chan proposalResult
}

// proposalResult is the receipt for a proposal, or the error why there is none.
type proposalResult struct {
	receipt Receipt
	err     error
}
