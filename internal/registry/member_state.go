package registry

// MemberState is the lifecycle state of a group member.
type MemberState string

// States of a member. Only a head can be open or closing.
const (
	Joining MemberState = "joining"
	Ready   MemberState = "ready"
	Open    MemberState = "open"
	Closing MemberState = "closing"
	Broken  MemberState = "broken"
)
