package order

import (
	"strings"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Key identifies an order: the team, the service and the caller's idempotency
// key.
type Key string

const keySeparator = "\x1f"

// NewKey joins the parts of a key.
func NewKey(team fleet.TeamName, service, idempotencyKey string) Key {
	return Key(strings.Join([]string{string(team), service, idempotencyKey}, keySeparator))
}
