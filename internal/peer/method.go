package peer

// Method names one call between daemons.
type Method string

// Methods of the mesh.
const (
	MethodConfig   Method = "config"   // the newest configuration that the daemon holds
	MethodGroups   Method = "groups"   // the state of the data centre's groups
	MethodReports  Method = "reports"  // all own observations of the daemon
	MethodUsage    Method = "usage"    // the whole use of capacity by team
	MethodOrder    Method = "order"    // run an order of a slot that the daemon owns
	MethodGenerate Method = "generate" // run a request of another data centre; streamed
)
