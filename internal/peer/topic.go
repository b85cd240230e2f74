package peer

// Topic is the name of a kind of soft state.
type Topic string

// Topics of the mesh.
const (
	TopicReports       Topic = "reports"  // observations of members
	TopicReportDigests Topic = "alive"    // digests of unchanged observations
	TopicFailedMembers Topic = "hints"    // members on which a request failed
	TopicLeaving       Topic = "leaving"  // VMs that the platform lists as leaving
	TopicUsage         Topic = "usage"    // changes in capacity usage by team
	TopicSuspects      Topic = "suspects" // requests suspected of crashing endpoints
	TopicVersions      Topic = "versions" // configuration version in force on the publisher
)
