package settings

// Timing holds the periods and timeouts of a daemon, in milliseconds.
type Timing struct {
	PollMS          int `yaml:"poll_ms,omitempty"`           // period of member reports
	ReportBoundMS   int `yaml:"report_bound_ms,omitempty"`   // age at which a member's report becomes stale
	ReconcileMS     int `yaml:"reconcile_ms,omitempty"`      // period of reconciliation
	VMListMS        int `yaml:"vm_list_ms,omitempty"`        // period of reading the VM list
	DrainNoticeMS   int `yaml:"drain_notice_ms,omitempty"`   // time that the load balancer may need to notice that the daemon is stopping
	PeerHeartbeatMS int `yaml:"peer_heartbeat_ms,omitempty"` // heartbeat period of a link to a peer
	DefaultWaitMS   int `yaml:"default_wait_ms,omitempty"`   // timeout of a request without a deadline
	SnapshotAgeMS   int `yaml:"snapshot_age_ms,omitempty"`   // age of a stream's newest snapshot at which a new one is written
}
