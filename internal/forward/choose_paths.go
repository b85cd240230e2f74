package forward

import "github.com/plantainmux/plantainmux/internal/locality"

// ChoosePaths returns the daemons through which to forward now a request that may be handled in some
// regions.
type ChoosePaths func(allowed *locality.Allowed) []string
