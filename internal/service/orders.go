package service

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/order"
)

// Orders runs orders at most once.
type Orders interface {
	Run(ctx context.Context, o order.Order) order.Result
}
