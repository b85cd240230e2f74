package adminapi

import "fmt"

// StatusAnswer is what one daemon answered, or why it did not.
type StatusAnswer struct {
	Address string  `json:"address"`
	Status  *Status `json:"status,omitempty"`
	Error   string  `json:"error,omitempty"`
}

// Well reports whether the daemon answered, is ready or stopping in order, and
// refuses no log.
func (a StatusAnswer) Well() bool {
	return a.Status != nil && (a.Status.Ready || a.Status.Draining) && len(a.Status.RefusedStreams) == 0
}

// Lines returns the answer as text.
func (a StatusAnswer) Lines() []string {
	if a.Status == nil {
		return []string{fmt.Sprintf("daemon at %s cannot be asked: %s", a.Address, a.Error)}
	}
	s := a.Status
	lines := []string{fmt.Sprintf("daemon %s at %s in %s: ready %t, draining %t, configuration version %d from the %s, in force %d ms after its publication",
		s.Daemon, a.Address, s.DataCentre, s.Ready, s.Draining, s.ConfigVersion, s.ConfigSource, s.ConfigTookMS)}
	for _, refused := range s.RefusedStreams {
		lines = append(lines, "  log refused: "+refused)
	}
	for _, group := range s.Groups {
		lines = append(lines, fmt.Sprintf("  group %d of %s %s: %s, members %v", group.Fencing, group.Model, group.Version, group.Condition, group.Members))
	}
	return lines
}
