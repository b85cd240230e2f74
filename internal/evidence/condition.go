package evidence

// Condition identifies one condition of operation that a report checks.
type Condition string

// Conditions of operation.
const (
	GroupsComplete     Condition = "groups_complete"     // no group serves while a member is missing
	VMsExclusive       Condition = "vms_exclusive"       // no VM belongs to two groups
	AnswersWhole       Condition = "answers_whole"       // each caller gets the whole answer to its own request
	NotRunTruthful     Condition = "not_run_truthful"    // a request refused as not run did not run
	OrdersAtMostOnce   Condition = "orders_at_most_once" // an order runs at most once
	LeavingDrained     Condition = "leaving_drained"     // a leaving endpoint gets no new work
	StopsGraceful      Condition = "stops_graceful"      // a planned stop cuts off no request
	ConfigurationHolds Condition = "configuration_holds" // an accepted configuration is in force in time and never reverts
)

// Conditions lists all conditions in the order of the report.
var Conditions = []Condition{
	GroupsComplete, VMsExclusive, AnswersWhole, NotRunTruthful,
	OrdersAtMostOnce, LeavingDrained, StopsGraceful, ConfigurationHolds,
}

var descriptions = map[Condition]string{
	GroupsComplete:     "No group serves while any of its members is missing.",
	VMsExclusive:       "No VM belongs to two groups at once.",
	AnswersWhole:       "Each caller receives the whole answer to its own request.",
	NotRunTruthful:     "A request refused as not run did not run.",
	OrdersAtMostOnce:   "An order runs at most once.",
	LeavingDrained:     "A leaving endpoint receives no new work after a few seconds.",
	StopsGraceful:      "A planned stop cuts off no request in progress.",
	ConfigurationHolds: "An accepted configuration is in force everywhere within seconds and never reverts.",
}

// Description returns the condition as a sentence.
func (c Condition) Description() string { return descriptions[c] }
