// Package admit is the admission control: it decides which requests may run now, which
// wait and which are refused. The capacity of a model's groups in a data centre is
// divided between teams by their shares, and between daemons by their demand. Capacity
// that a team does not use is lent to the others until the team needs it. All decisions
// take the time as an argument; only Gate waits and communicates with peers.
package admit
