package capacity

// Sample holds the values of one daemon's metrics page by the name and labels
// of the metric.
type Sample map[string]float64
