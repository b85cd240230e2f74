package evidence

// GroupUse summarises the attempts that one daemon started on one group. Times are
// Unix milliseconds.
type GroupUse struct {
	Attempts uint64 `json:"attempts"`
	First    int64  `json:"first"` // start of the first attempt
	Last     int64  `json:"last"`  // start of the last attempt
}
