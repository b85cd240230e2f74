package peer

// queuedFrame is an encoded frame that waits to be sent.
type queuedFrame struct {
	data []byte
	call *outgoingCall // that the frame begins, or nil
}

// appendTo appends the frame to a batch, unless it begins a call that was cancelled meanwhile: on a
// link that was blocked, the other side might begin the call before it reads that it is cancelled.
func (f queuedFrame) appendTo(batch []byte) []byte {
	if f.call != nil && f.call.cancelled.Load() {
		return batch
	}
	return append(batch, f.data...)
}
