package group

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// Record kinds of a group stream.
const (
	KindForm    logstream.Kind = "form"
	KindReady   logstream.Kind = "ready"
	KindDrain   logstream.Kind = "drain"
	KindRelease logstream.Kind = "release"
)

// StreamName returns the name of a data centre's group stream.
func StreamName(dataCentre fleet.DataCentre) string {
	return "groups." + string(dataCentre)
}
