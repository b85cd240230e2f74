package daemon

// registerRequestGauges registers the gauges of the admission gate and of crash
// suspects.
func (d *Daemon) registerRequestGauges(suspects func() int) {
	d.metrics.Gauge("plantainmux_admission_running", func() float64 {
		running, _ := d.gate.Totals()
		return float64(running)
	})
	d.metrics.Gauge("plantainmux_admission_waiting", func() float64 {
		_, waiting := d.gate.Totals()
		return float64(waiting)
	})
	d.metrics.Gauge("plantainmux_admission_slots", func() float64 { return float64(d.gate.Slots()) })
	d.metrics.Gauge("plantainmux_suspects", func() float64 { return float64(suspects()) })
}
