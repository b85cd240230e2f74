package order

import (
	"strings"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Key identifies an order: the team, the service and the caller's idempotency
// key.
type Key string

const keySeparator = "\x1f"

// NewKey returns the key of a team's order to a service. Keys of different teams
// never collide.
func NewKey(team fleet.TeamName, service, idempotencyKey string) Key {
	return Key(strings.Join([]string{string(team), service, idempotencyKey}, keySeparator))
}

// Parts returns the team, the service and the idempotency key.
func (k Key) Parts() (team fleet.TeamName, service, idempotencyKey string) {
	first, rest, _ := strings.Cut(string(k), keySeparator)
	service, idempotencyKey, _ = strings.Cut(rest, keySeparator)
	return fleet.TeamName(first), service, idempotencyKey
}
