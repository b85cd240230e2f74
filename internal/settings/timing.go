package settings

// Timing gives the periods of a daemon, in milliseconds.
type Timing struct {
	PollMS          int `yaml:"poll_ms,omitempty"`           // between two reports of a member
	ReportBoundMS   int `yaml:"report_bound_ms,omitempty"`   // age at which a report no longer proves a member
	ReconcileMS     int `yaml:"reconcile_ms,omitempty"`      // between two reconciliations
	VMListMS        int `yaml:"vm_list_ms,omitempty"`        // between two reads of the VM list
	DrainNoticeMS   int `yaml:"drain_notice_ms,omitempty"`   // how long the balancer may take to notice a stop
	PeerHeartbeatMS int `yaml:"peer_heartbeat_ms,omitempty"` // between two frames of a link to a peer
	DefaultWaitMS   int `yaml:"default_wait_ms,omitempty"`   // deadline of a request that names none
	SnapshotAgeMS   int `yaml:"snapshot_age_ms,omitempty"`   // age of the newest snapshot of a stream at which another is written
}
