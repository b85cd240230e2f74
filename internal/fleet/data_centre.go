package fleet

// DataCentre names one data centre, as the settings of a daemon give it.
type DataCentre string
