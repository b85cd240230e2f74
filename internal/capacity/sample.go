package capacity

// Sample contains the metric values of one daemon by metric name with labels.
type Sample map[string]float64
