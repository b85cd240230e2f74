package grace

// Begins reports whether a request is passed on. The time at which its head came does not matter: one whose
// body takes long to arrive would be cut off by the end of the process while it runs. After the admission
// only those are begun that are answered before.
func Begins(s State) bool {
	return s.Stopping <= s.Admission || s.Remaining <= s.Left
}
