package logstream

// proposal is a record on its way to the stream.
type proposal struct {
	kind     Kind
	body     []byte
	seq      uint64 // set when the record is first sent
	data     []byte // encoded record, the same at each repeat
	sent     bool   // an append that may have taken effect was tried
	gone     bool   // the proposer no longer waits
	doubtful bool   // an append of it had an unknown outcome
	reply    chan verdict
}

// verdict ends a proposal: a receipt, or an error when none can be had.
type verdict struct {
	receipt Receipt
	err     error
}
