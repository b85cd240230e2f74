// Package groupsync lets a daemon that starts while the log is unavailable adopt
// the state of its data centre's groups from the other daemons in the data centre.
// The adopted state is provisional. The daemon may serve requests by it, because
// whether a group is complete depends on fresh reports of its members. It makes no
// proposals and sends no orders until the log has confirmed the state.
package groupsync
