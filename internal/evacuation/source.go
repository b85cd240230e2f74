package evacuation

// Source says where a daemon learnt of a change.
type Source string

// Sources of changes.
const (
	FromStore  Source = "store"  // the operators' topic, read from the store or through another daemon
	FromDaemon Source = "daemon" // the gossip of another daemon
	FromCopy   Source = "copy"   // the copy from which the store was restored, after HoldPeriod
)
