package fakes

import (
	"context"
	"encoding/json"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// RegisterDesk writes the entry of one more plain service, at an address at which something else listens.
func (p *WirePlatform) RegisterDesk(dataCentre, id, address string) error {
	entry := map[string]any{"service": "desk", "address": address, "zone": dataCentre, "version": "v1", "slots": 8, "state": "ready", "sequence": 1, "born": 1}
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return p.store.Log.Put(context.Background(), "keyed.servers", keyed.Record{Key: id, Value: value})
}
