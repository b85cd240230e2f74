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
	return len(a.problems()) == 0
}

func (a StatusAnswer) problems() []string {
	if a.Status == nil {
		return []string{fmt.Sprintf("daemon at %s cannot be asked: %s", a.Address, a.Error)}
	}
	var problems []string
	if !a.Status.Ready && !a.Status.Draining {
		problems = append(problems, fmt.Sprintf("daemon at %s is not ready", a.Address))
	}
	for _, refused := range a.Status.RefusedStreams {
		problems = append(problems, fmt.Sprintf("daemon at %s refuses the log: %s", a.Address, refused))
	}
	return problems
}

// line describes a daemon that answered.
func (a StatusAnswer) line() string {
	s := a.Status
	return fmt.Sprintf("daemon %s at %s: %s, configuration %d from the %s, in force %d ms after its publication",
		s.Daemon, a.Address, s.phase(), s.ConfigVersion, s.ConfigSource, s.ConfigTookMS)
}
