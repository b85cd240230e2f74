package adminapi

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/order"
)

// OrderStatus is one order as shown to operators. It contains no credentials and
// no bodies of calls.
type OrderStatus struct {
	Team         fleet.TeamName `json:"team"`
	Service      string         `json:"service"`
	Key          string         `json:"key"` // the caller's idempotency key
	State        order.State    `json:"state"`
	Method       string         `json:"method"`
	Path         string         `json:"path"`
	Claim        infra.Offset   `json:"claim"` // log offset of the claim in force
	Claimant     string         `json:"claimant"`
	ClaimedAt    time.Time      `json:"claimed_at"`
	Deadline     time.Time      `json:"deadline"`
	ExpiresAt    time.Time      `json:"expires_at"`
	AnswerStatus int            `json:"answer_status,omitempty"`
	AnswerBytes  int            `json:"answer_bytes,omitempty"`
	WithoutClaim bool           `json:"without_claim,omitempty"`
	DoubtedBy    fleet.DaemonID `json:"doubted_by,omitempty"`
	DoubtedAt    *time.Time     `json:"doubted_at,omitempty"`
	SettledBy    string         `json:"settled_by,omitempty"`
	SettledAt    *time.Time     `json:"settled_at,omitempty"`
}

func newOrderStatus(record order.Record) OrderStatus {
	team, service, key := record.Claim.Key.Parts()
	return OrderStatus{
		Team:         team,
		Service:      service,
		Key:          key,
		State:        record.State,
		Method:       record.Claim.Method,
		Path:         record.Claim.Path,
		Claim:        record.Offset,
		Claimant:     record.Writer,
		ClaimedAt:    time.UnixMilli(record.ClaimedMillis),
		Deadline:     time.UnixMilli(record.Claim.DeadlineMillis),
		ExpiresAt:    time.UnixMilli(record.ExpiresMillis),
		AnswerStatus: record.Answer.Status,
		AnswerBytes:  len(record.Answer.Body),
		WithoutClaim: record.Direct,
		DoubtedBy:    record.MarkedUnclearBy,
		DoubtedAt:    optionalTime(record.MarkedUnclearMillis),
		SettledBy:    record.Operator,
		SettledAt:    optionalTime(record.SettledMillis),
	}
}

// optionalTime converts Unix milliseconds to a time; 0 becomes nil.
func optionalTime(millis int64) *time.Time {
	if millis == 0 {
		return nil
	}
	at := time.UnixMilli(millis)
	return &at
}
