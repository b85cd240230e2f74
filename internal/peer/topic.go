package peer

// Topic is the name of a kind of soft state.
type Topic string

// Topics of the mesh.
const (
	TopicReports  Topic = "reports"  // observations of members
	TopicAlive    Topic = "alive"    // digests of unchanged observations
	TopicHints    Topic = "hints"    // members on which a request failed
	TopicLeaving  Topic = "leaving"  // VMs that the platform lists as leaving
	TopicUsage    Topic = "usage"    // changes in capacity usage by team
	TopicSuspects Topic = "suspects" // requests suspected of crashing endpoints
	TopicVersions Topic = "versions" // configuration version in force on the publisher
)
