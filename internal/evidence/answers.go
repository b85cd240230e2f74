package evidence

// Answers counts the answers to callers by their outcome.
type Answers struct {
	Done          uint64 `json:"done"`
	NotRun        uint64 `json:"not_run"`
	Unknown       uint64 `json:"unknown"`
	WithoutEnd    uint64 `json:"without_end"`    // called done though no end marker came
	ForeignFrames uint64 `json:"foreign_frames"` // frames of other attempts that were dropped
	RanNotRun     uint64 `json:"ran_not_run"`    // called not run though an attempt may have run
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
