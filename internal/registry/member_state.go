package registry

// MemberState is how far a member of a group is.
type MemberState string

// States of a member. Only a head is open or closing.
const (
	Joining MemberState = "joining"
	Ready   MemberState = "ready"
	Open    MemberState = "open"
	Closing MemberState = "closing"
	Broken  MemberState = "broken"
)
