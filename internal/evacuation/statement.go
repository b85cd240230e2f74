package evacuation

import "github.com/plantainmux/plantainmux/internal/keyed"

// statement says whether a data centre is evacuated, as of a position in the operators' topic.
type statement struct {
	position  keyed.Position
	evacuated bool
	// emptyTopic marks what a topic without records says: its first record follows, at this position.
	emptyTopic bool
}

// unwritten returns the statement of a topic that has been read to an end without a record of the
// data centre.
func unwritten(era, end uint64) statement {
	return statement{position: keyed.Position{Era: era, Offset: max(end, 1) - 1}, emptyTopic: end == 0}
}

// newer reports whether the statement follows another one in the history of the topic, or has the
// same position in the history of a later era.
func (s statement) newer(other statement) bool {
	return s.position.Ordinal() > other.position.Ordinal() || s.position == other.position && other.emptyTopic && !s.emptyTopic
}

// written reports whether the statement is a record that is newer than another statement, of
// whichever era: a copy holds the beginning of the history, so that a record at a later offset
// follows. One at an earlier offset may be an old one of the copy.
func (s statement) written(other statement) bool {
	return s.evacuated && s.position.Offset > other.position.Offset
}
