package fleet

// DaemonID names one running daemon. It is new at each start of a daemon.
type DaemonID string
