package capacity

import (
	"strings"
	"time"
)

// Names of the costs.
const (
	CostCPU        = "cpu_percent_of_a_core"
	CostMemory     = "resident_megabytes"
	CostGoroutines = "goroutines"
	CostBytes      = "control_bytes_per_second"
	CostMessages   = "sent_messages_per_second"
)

const (
	metricCPU        = "process_cpu_seconds_total"
	metricMemory     = "process_resident_memory_bytes"
	metricGoroutines = "go_goroutines"
	metricBytes      = "plantainmux_control_bytes_total"
	metricMessages   = "plantainmux_peer_sent_messages_total"
	megabyte         = 1 << 20
	percent          = 100
)

// counterparts are the values of the label "with" for which bytes are reported
// separately.
var counterparts = []string{"log", "vms", "engines", "peers"}

// Costs returns the average costs of a daemon between two scrapes that are window
// apart.
func Costs(before, after []Sample, window time.Duration) []Cost {
	seconds := window.Seconds()
	costs := []Cost{
		{CostCPU, percent * increase(before, after, metricCPU) / seconds},
		{CostMemory, mean(after, metricMemory) / megabyte},
		{CostGoroutines, mean(after, metricGoroutines)},
		{CostBytes, increase(before, after, metricBytes) / seconds},
		{CostMessages, increase(before, after, metricMessages) / seconds},
	}
	for _, with := range counterparts {
		costs = append(costs, Cost{CostBytes + "_" + with, increase(before, after, metricBytes+`{with="`+with+`"`) / seconds})
	}
	return costs
}

func increase(before, after []Sample, prefix string) float64 {
	return mean(after, prefix) - mean(before, prefix)
}

// mean returns the average over daemons of the sum of the metrics whose names
// start with prefix.
func mean(samples []Sample, prefix string) float64 {
	sum := 0.0
	for _, sample := range samples {
		for name, value := range sample {
			if strings.HasPrefix(name, prefix) {
				sum += value
			}
		}
	}
	return sum / float64(len(samples))
}
