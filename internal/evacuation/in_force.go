package evacuation

import "time"

// InForce is an evacuation that is in force.
type InForce struct {
	DataCentre string
	Since      time.Time // when this daemon learnt of it
	Source     Source
}
