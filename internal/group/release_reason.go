package group

// ReleaseReason is why a group was drained or released.
type ReleaseReason string

// Reasons of a drain or release.
const (
	MemberLost    ReleaseReason = "member_lost"    // a member does not report or rebooted
	MemberLeaving ReleaseReason = "member_leaving" // a member's VM is leaving
	NotWanted     ReleaseReason = "not_wanted"     // the configuration has fewer groups
	Outdated      ReleaseReason = "outdated"       // its version, size or adapters are not the configured ones
	NeverReady    ReleaseReason = "never_ready"    // it did not load in time
)
