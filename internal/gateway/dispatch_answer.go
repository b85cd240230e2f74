package gateway

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// answerDispatch answers the call of another daemon.
func (g *Gateway) answerDispatch(_ context.Context, from fleet.DaemonID, body cbor.RawMessage) (any, error) {
	var call dispatch.Call
	if err := cbor.Unmarshal(body, &call); err != nil {
		return nil, merry.Wrap(err)
	}
	g.dispatchClient.noteUse()
	return g.dispatcher.answer(string(from), call, time.Now()), nil
}
