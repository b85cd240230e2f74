package registry

// Membership is the group that an endpoint says it is in.
type Membership struct {
	Group string
	Epoch uint64 // fencing number of the group
	Rank  int    // 0 is the head, which takes the group's requests
	State MemberState
}

// In reports whether the membership is of a group under one fencing number.
func (m Membership) In(group string, epoch uint64) bool {
	return m.Group == group && m.Epoch == epoch
}

// Serves reports whether the head may run requests.
func (m Membership) Serves() bool { return m.State == Open || m.State == Closing }
