package logstream

import "github.com/plantainmux/plantainmux/internal/infra"

// Receipt is the result of a proposal, as read back from the stream.
type Receipt struct {
	Offset infra.Offset
	Void   error // error with which the fold rejected the record; nil when it was accepted
}
