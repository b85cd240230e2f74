// Package admit decides which requests may run now, which wait and which are
// refused. The capacity of a model's groups in the data centre is divided
// between teams by their shares, and between daemons by their demand; what a
// team leaves unused is lent to the others until it comes back. The decisions
// take time as an argument; only Gate waits and talks to peers.
package admit
