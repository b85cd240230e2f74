package fleet

// DataCentre is the name of a data centre, as in the settings of its daemons.
type DataCentre string
