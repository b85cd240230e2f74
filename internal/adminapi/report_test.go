package adminapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/adminapi"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/view"
)

func TestAdminAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "adminapi")
}

var _ = Describe("status report", func() {
	status := func(id string, condition group.Condition, serving int, missing ...fleet.VMID) *adminapi.Status {
		return &adminapi.Status{
			Daemon: fleet.DaemonID(id), DataCentre: "north", Ready: true, ConfigVersion: 7, ConfigSource: "log", ConfigTookMS: 12,
			Models: []adminapi.ModelStatus{{Name: "swatch-draft", Version: "v1", Wanted: 1, Serving: serving}},
			Groups: []view.GroupStatus{{
				Group:     fleet.Group{Fencing: 3, Model: "swatch-draft", Version: "v1", Members: []fleet.VMID{"vm1", "vm2"}},
				Condition: condition,
				Missing:   missing,
			}},
		}
	}

	It("reports no problem if all daemons are healthy", func() {
		report := adminapi.NewReport([]adminapi.StatusAnswer{{Address: "10.0.0.1:1", Status: status("a", group.Complete, 1)}})
		Expect(report.UnhealthyDaemons()).To(BeZero())
		Expect(report.Lines()).To(Equal([]string{
			"1 of 1 daemons are well, configuration 7 in force: nothing is wrong",
			"",
			"north: 1 daemon",
			"  daemon a at 10.0.0.1:1: ready, configuration 7 from the log, in force 12 ms after its publication",
			"  swatch-draft v1: 1 of 1 groups serve",
			"  group 3 of swatch-draft v1: complete, members [vm1 vm2]",
		}))
	})

	It("lists problems first, and shows differences between daemons", func() {
		behind := status("b", group.MemberSilent, 0, "vm2")
		behind.ConfigVersion = 6
		behind.RefusedStreams = []string{"config ends early"}
		draining := status("c", group.MemberSilent, 0, "vm2")
		draining.Ready, draining.Draining = false, true
		report := adminapi.NewReport([]adminapi.StatusAnswer{
			{Address: "10.0.0.1:1", Status: status("a", group.Complete, 1)},
			{Address: "10.0.0.2:1", Status: behind},
			{Address: "10.0.0.3:1", Status: draining},
			{Address: "10.0.0.4:1", Error: "connection refused"},
		})
		Expect(report.UnhealthyDaemons()).To(Equal(2))
		Expect(report.Lines()).To(Equal([]string{
			"2 of 4 daemons are well, configuration 7 and 6 in force: 4 problems",
			"! daemon at 10.0.0.2:1 refuses the log: config ends early",
			"! daemon at 10.0.0.4:1 cannot be asked: connection refused",
			"! the daemons do not agree on the configuration",
			"! north: 0 of 1 groups of swatch-draft serve",
			"",
			"north: 3 daemons",
			"  daemon a at 10.0.0.1:1: ready, configuration 7 from the log, in force 12 ms after its publication",
			"  daemon b at 10.0.0.2:1: ready, configuration 6 from the log, in force 12 ms after its publication",
			"  daemon c at 10.0.0.3:1: draining, configuration 7 from the log, in force 12 ms after its publication",
			"  swatch-draft v1: 0 of 1 groups serve",
			"  group 3 of swatch-draft v1: complete on 1, member_silent on 2 daemons, members [vm1 vm2], missing [vm2]",
		}))
	})
})
