package registry

import "strconv"

// IncarnationKey returns the key of what is kept of one incarnation of an endpoint.
func IncarnationKey(id string, incarnation int64) string {
	return id + "/" + strconv.FormatInt(incarnation, 10)
}
