package gateway

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/placement"
)

var _ = Describe("The status of a model", func() {
	service := &catalog.Service{Name: "s", Performance: &catalog.PerformanceModel{
		Slots: 48, StepsPerPass: 5, PrefillChunkTokens: 2048, StepDuration: 6450 * time.Microsecond, PerRequest: 96700 * time.Nanosecond, PrefillTokensPerSecond: 56_100,
	}}
	model := &catalog.Model{Name: "small", GroupSize: 6, StepTimeFactor: 0.6}
	targets := []*placement.Target{{DataCentre: "x"}, {DataCentre: "z"}, {DataCentre: "z"}}
	total := &demand.Total{RequestsPerS: 84, PromptTokensPerS: 84 * 714, OutputTokensPerS: 84 * 150}

	It("is the demand for its serving groups", func() {
		s := newModelStatus(service, model, targets, total)
		Expect(s.ServingGroups).To(Equal(map[string]int{"x": 1, "z": 2}))
		Expect(*s.CapacityRequestsPerS).To(BeNumerically("~", 105, 1))
		Expect(*s.Utilisation).To(BeNumerically("~", 0.8, 0.01))
	})

	// Guards against a zero that looks like a measurement.
	DescribeTable("is null where it is not known", func(service *catalog.Service, targets []*placement.Target, total *demand.Total, expected string) {
		data, err := json.Marshal(newModelStatus(service, model, targets, total))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(MatchJSON(expected))
	},
		Entry("without demand", service, targets, nil,
			`{"service": "s", "model": "small", "serving_groups_by_data_centre": {"x": 1, "z": 2}, "demand_requests_per_s": null, "capacity_requests_per_s": null, "utilisation": null}`),
		Entry("without published performance", &catalog.Service{Name: "s"}, nil, total,
			`{"service": "s", "model": "small", "serving_groups_by_data_centre": {}, "demand_requests_per_s": 84, "capacity_requests_per_s": null, "utilisation": null}`),
		Entry("without groups", service, nil, total,
			`{"service": "s", "model": "small", "serving_groups_by_data_centre": {}, "demand_requests_per_s": 84, "capacity_requests_per_s": 0, "utilisation": null}`),
	)
})
