package evidence

// Answers counts the responses to callers by outcome.
type Answers struct {
	Done          uint64 `json:"done"`
	NotRun        uint64 `json:"not_run"`
	Unknown       uint64 `json:"unknown"`
	WithoutEnd    uint64 `json:"without_end"`    // reported as done without an end marker
	ForeignFrames uint64 `json:"foreign_frames"` // dropped frames that belong to other attempts
	RanNotRun     uint64 `json:"ran_not_run"`    // reported as not run although an attempt may have run
}

func (a Answers) plus(b Answers) Answers {
	return Answers{
		Done:          a.Done + b.Done,
		NotRun:        a.NotRun + b.NotRun,
		Unknown:       a.Unknown + b.Unknown,
		WithoutEnd:    a.WithoutEnd + b.WithoutEnd,
		ForeignFrames: a.ForeignFrames + b.ForeignFrames,
		RanNotRun:     a.RanNotRun + b.RanNotRun,
	}
}
