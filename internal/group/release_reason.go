package group

// ReleaseReason says why a group was taken apart.
type ReleaseReason string

// Reasons of a release.
const (
	MemberLost    ReleaseReason = "member_lost"    // a member is silent or restarted
	MemberLeaving ReleaseReason = "member_leaving" // a member's VM is leaving
	NotWanted     ReleaseReason = "not_wanted"     // the configuration wants fewer groups
	Outdated      ReleaseReason = "outdated"       // a group of the wanted version replaces it
	NeverReady    ReleaseReason = "never_ready"    // it did not load in time
)
