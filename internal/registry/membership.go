package registry

// Membership is an endpoint's group as the endpoint reports it.
type Membership struct {
	Group string
	Epoch uint64 // fencing number of the group
	Rank  int    // 0 is the head, which receives the group's requests
	State MemberState
}

// In reports whether the endpoint is a member of a group under the given epoch.
func (m Membership) In(group string, epoch uint64) bool {
	return m.Group == group && m.Epoch == epoch
}

// Serves reports whether the member, as the head, may run requests.
func (m Membership) Serves() bool { return m.State == Open || m.State == Closing }
