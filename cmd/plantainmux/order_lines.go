package main

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/adminapi"
)

// orderLines returns an order as text; the first line is a summary.
func orderLines(s adminapi.OrderStatus) []string {
	lines := []string{
		fmt.Sprintf("%s  %s  %s %s %s  %s %s", s.State, s.ClaimedAt.UTC().Format(time.RFC3339), s.Team, s.Service, s.Key, s.Method, s.Path),
		fmt.Sprintf("  claim %d by %s, deadline %s, key kept until %s", s.Claim, s.Claimant, s.Deadline.UTC().Format(time.RFC3339), s.ExpiresAt.UTC().Format(time.RFC3339)),
	}
	if s.AnswerStatus != 0 {
		lines = append(lines, fmt.Sprintf("  answered with status %d and %d bytes", s.AnswerStatus, s.AnswerBytes))
	}
	if s.DoubtedAt != nil {
		lines = append(lines, fmt.Sprintf("  marked unclear by daemon %s at %s", s.DoubtedBy, s.DoubtedAt.UTC().Format(time.RFC3339)))
	}
	if s.SettledAt != nil {
		lines = append(lines, fmt.Sprintf("  settled by %s at %s", s.SettledBy, s.SettledAt.UTC().Format(time.RFC3339)))
	}
	return lines
}
