package peer

// Method is the name of a call between daemons.
type Method string

// Methods of the mesh.
const (
	MethodConfig   Method = "config"   // fetch the newest configuration that the daemon has
	MethodGroups   Method = "groups"   // fetch the state of the groups of the data centre
	MethodReports  Method = "reports"  // fetch all observations that the daemon made itself
	MethodUsage    Method = "usage"    // fetch the complete capacity usage by team
	MethodOrder    Method = "order"    // run an order of a slot that the daemon owns
	MethodGenerate Method = "generate" // run a request of another data centre; streamed
	MethodExchange Method = "exchange" // carry out an exchange with an endpoint; streamed
)
