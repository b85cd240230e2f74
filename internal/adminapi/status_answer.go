package adminapi

import "fmt"

// StatusAnswer is the status of one daemon, or the error of the call.
type StatusAnswer struct {
	Address string  `json:"address"`
	Status  *Status `json:"status,omitempty"`
	Error   string  `json:"error,omitempty"`
}

// Healthy reports whether the daemon answered, is ready or draining, and refuses
// no log stream.
func (a StatusAnswer) Healthy() bool {
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
		s.Daemon, a.Address, s.readiness(), s.ConfigVersion, s.ConfigSource, s.ConfigTookMS)
}
