package peer

// Topic names one kind of soft state.
type Topic string

// Topics of the mesh.
const (
	TopicReports  Topic = "reports"  // observations of members
	TopicAlive    Topic = "alive"    // digests of observations, unchanged
	TopicHints    Topic = "hints"    // members that a request failed on
	TopicLeaving  Topic = "leaving"  // VMs that the platform lists as leaving
	TopicUsage    Topic = "usage"    // changes in the use of capacity by team
	TopicSuspects Topic = "suspects" // requests that crashed endpoints
	TopicVersions Topic = "versions" // configuration version in force
)
