package capacity_test

import (
	"bytes"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/capacity"
)

var _ = Describe("Costs", func() {
	It("average the increase of counters over daemons and time", func() {
		page := func(text string) capacity.Sample { return capacity.ParseSample(strings.NewReader(text)) }
		before := []capacity.Sample{page("process_cpu_seconds_total 1\n"), page("process_cpu_seconds_total 3\n")}
		after := []capacity.Sample{
			page("process_cpu_seconds_total 2\nplantainmux_control_bytes_total{with=\"log\",direction=\"sent\"} 40\n"),
			page("process_cpu_seconds_total 6\nplantainmux_control_bytes_total{with=\"vms\",direction=\"sent\"} 80\n"),
		}
		costs := map[string]float64{}
		for _, cost := range capacity.Costs(before, after, 10*time.Second) {
			costs[cost.Name] = cost.Value
		}
		Expect(costs[capacity.CostCPU]).To(BeNumerically("~", 20))
		Expect(costs[capacity.CostBytes]).To(BeNumerically("~", 6))
		Expect(costs[capacity.CostBytes+"_log"]).To(BeNumerically("~", 2))
	})

	It("are read, fitted and written as a table, and an invalid line is reported by number", func() {
		all, err := capacity.ReadSeries(strings.NewReader("peers 2 cpu 1\npeers 4 cpu 2\npeers 8 cpu 4\n"))
		Expect(err).NotTo(HaveOccurred())
		var table bytes.Buffer
		Expect(capacity.WriteTable(&table, all)).To(Succeed())
		Expect(table.String()).To(ContainSubstring("peers  cpu   0     0.5    0.0%"))
		_, err = capacity.ReadSeries(strings.NewReader("peers 2 cpu 1\npeers two cpu 1\n"))
		var bad *capacity.LineError
		Expect(err).To(BeAssignableToTypeOf(bad))
		Expect(err.Error()).To(ContainSubstring("line 2"))
	})
})
