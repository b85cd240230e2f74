package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/order"
)

// Paths of the order interface.
const (
	PathOrders      = "/admin/orders"
	PathOrder       = "/admin/order"
	PathOrderSettle = "/admin/order/settle"
)

const (
	orderTimeout      = 20 * time.Second // of one call, with its reads and appends to the log
	defaultOrderLimit = 1000             // orders in a list
	settleBodyLimit   = 16 << 10         // bytes
)

func (s *Server) routeOrders(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathOrders, s.authenticated(s.listOrders))
	mux.HandleFunc("GET "+PathOrder, s.authenticated(s.showOrder))
	mux.HandleFunc("POST "+PathOrderSettle, s.authenticated(s.settleOrder))
}

func (s *Server) listOrders(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
	defer cancel()
	var states []order.State
	for _, state := range r.URL.Query()["state"] {
		states = append(states, order.State(state))
	}
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultOrderLimit
	}
	records, err := s.Orders.List(ctx, states, limit)
	if err != nil {
		writeOrderError(w, err)
		return
	}
	listed := make([]OrderStatus, 0, len(records))
	for _, record := range records {
		listed = append(listed, newOrderStatus(record))
	}
	writeOrders(w, listed)
}

func (s *Server) showOrder(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
	defer cancel()
	query := r.URL.Query()
	key := order.NewKey(fleet.TeamName(query.Get("team")), query.Get("service"), query.Get("key"))
	record, err := s.Orders.Get(ctx, key)
	if err != nil {
		writeOrderError(w, err)
		return
	}
	writeOrders(w, newOrderStatus(record))
}

func (s *Server) settleOrder(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
	defer cancel()
	var request SettleRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, settleBodyLimit))
	if err := decoder.Decode(&request); err != nil || request.Operator == "" {
		http.Error(w, "a settlement names the order, the verdict and the operator", http.StatusBadRequest)
		return
	}
	key := order.NewKey(request.Team, request.Service, request.Key)
	record, err := s.Orders.Settle(ctx, key, request.Ran, request.Operator)
	if err != nil {
		writeOrderError(w, err)
		return
	}
	writeOrders(w, newOrderStatus(record))
}

func writeOrders(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeOrderError(w http.ResponseWriter, err error) {
	var unknown *order.UnknownKeyError
	var notUnclear *order.NotUnclearError
	var notClaimant *order.NotClaimantError
	switch {
	case errors.As(err, &unknown):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.As(err, &notUnclear), errors.As(err, &notClaimant):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, "the log cannot be read or written: "+err.Error(), http.StatusServiceUnavailable)
	}
}
