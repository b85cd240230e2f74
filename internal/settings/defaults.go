package settings

import "time"

// Default values of Limits and Timing. Names ending in MS are in milliseconds.
const (
	DefaultBodyBytes        = 1 << 20
	DefaultHeadBytes        = 64 << 10
	DefaultQueueLength      = 256
	DefaultQueueWaitMS      = 500
	DefaultWorkers          = 64
	DefaultPollMS           = 500
	DefaultReportBoundMS    = 2000
	DefaultReconcileMS      = 250
	DefaultVMListMS         = 1000
	DefaultDrainNoticeMS    = 3000
	DefaultSnapshotAgeMS    = 600000
	DefaultRequestTimeoutMS = 60000
	DefaultPeerHeartbeatMS  = 1000
)

// WithDefaults returns the settings with each zero field of Limits and Timing set
// to its default.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Limits.BodyBytes, DefaultBodyBytes)
	setDefault(&s.Limits.HeadBytes, DefaultHeadBytes)
	setDefault(&s.Limits.QueueLength, DefaultQueueLength)
	setDefault(&s.Limits.QueueWaitMS, DefaultQueueWaitMS)
	setDefault(&s.Limits.Workers, DefaultWorkers)
	setDefault(&s.Timing.PollMS, DefaultPollMS)
	setDefault(&s.Timing.ReportBoundMS, DefaultReportBoundMS)
	setDefault(&s.Timing.ReconcileMS, DefaultReconcileMS)
	setDefault(&s.Timing.VMListMS, DefaultVMListMS)
	setDefault(&s.Timing.DrainNoticeMS, DefaultDrainNoticeMS)
	setDefault(&s.Timing.PeerHeartbeatMS, DefaultPeerHeartbeatMS)
	setDefault(&s.Timing.SnapshotAgeMS, DefaultSnapshotAgeMS)
	setDefault(&s.Timing.DefaultWaitMS, DefaultRequestTimeoutMS)
	return s
}

func setDefault[T int | int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Millis converts a number of milliseconds to a time.Duration.
func Millis(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
