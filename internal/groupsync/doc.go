// Package groupsync lets a daemon that starts while the log is away take the
// state of its data centre's groups from the other daemons there. The state is
// an unconfirmed starting point: the daemon serves by it, since a group is
// complete only by its members' own fresh reports, but it neither proposes nor
// orders until the log has confirmed it.
package groupsync
