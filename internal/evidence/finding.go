package evidence

// Finding is the result of checking one condition.
type Finding struct {
	Condition   Condition `json:"condition"`
	Description string    `json:"description"`
	Checked     []Count   `json:"checked"`
	Breaches    []Breach  `json:"breaches"`
	NotKnown    []string  `json:"not_known"` // what cannot be determined from the records
}

// Count is the number of checked items of one type.
type Count struct {
	Name  string `json:"name"`
	Value uint64 `json:"value"`
}

func newFinding(condition Condition, notKnown ...string) *Finding {
	return &Finding{Condition: condition, Description: condition.Description(), NotKnown: notKnown, Breaches: []Breach{}}
}

func (f *Finding) checked(name string, value uint64) {
	f.Checked = append(f.Checked, Count{Name: name, Value: value})
}

func (f *Finding) breach(stream string, item Item, text string) {
	f.Breaches = append(f.Breaches, Breach{At: item.Entry.Time(), Stream: stream, Offset: item.Offset, Text: text})
}

// Holds reports whether no breach was found.
func (f *Finding) Holds() bool { return len(f.Breaches) == 0 }
