package fleet

// DaemonID identifies one run of a daemon. It changes with each restart.
type DaemonID string
