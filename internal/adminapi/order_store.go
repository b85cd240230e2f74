package adminapi

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/order"
)

// OrderStore gives access to the orders in the log.
type OrderStore interface {
	List(ctx context.Context, states []order.State, limit int) ([]order.Record, error)
	Get(ctx context.Context, key order.Key) (order.Record, error)
	Settle(ctx context.Context, key order.Key, ran bool, operator string) (order.Record, error)
}
