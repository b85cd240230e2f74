package main

import (
	"encoding/json"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/gateway"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

var _ = Describe("The status of daemons on a platform", func() {
	status := func(node string, version int64, demand float64) gateway.Status {
		capacity, utilisation := 350.0, demand/350
		return gateway.Status{
			Node: node, DataCentre: "y", ConfigVersion: &version, LiveDaemons: 3, Evacuated: []gateway.EvacuatedStatus{{Name: "y", EvacuatedForS: 2 + demand/100, Source: "store"}},
			Models: []gateway.ModelStatus{{
				Service: "engines", Model: "small", ServingGroups: map[string]int{"x": 4, "z": 6},
				DemandRequestsPerS: &demand, CapacityRequestsPerS: &capacity, Utilisation: &utilisation,
			}},
		}
	}
	daemon := func(s gateway.Status) string {
		return testbed.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/status" {
				http.NotFound(w, r)
				return
			}
			_ = json.NewEncoder(w).Encode(s)
		})).Address()
	}

	// Guards against a disagreement that is hidden by what most daemons say, and against late demand
	// that is shown as a disagreement.
	It("is one table, with a line for each daemon where they disagree", func() {
		behind := status("nz", 3, 315)
		behind.Evacuated, behind.CutOffFromEndpoints = nil, true
		behind.Models[0].DemandRequestsPerS, behind.Models[0].Utilisation = nil, nil
		one, two, three := daemon(status("nx", 4, 300)), daemon(status("ny", 4, 315)), daemon(behind)
		code, out := run("status", "--platform", one, "--platform", two)
		Expect(code).To(BeZero())
		Expect(out).To(And(
			HavePrefix("2 of 2 daemons answer\n"), MatchRegexp(`configuration +4\n`), MatchRegexp(`evacuated y for +5 s \(store\)\n`),
			MatchRegexp(`model engines/small groups +x 4, z 6\n`), MatchRegexp(`model engines/small demand +300\.0 /s to 315\.0 /s\n`),
			Not(ContainSubstring("disagree")),
		))
		_, out = run("status", "--platform", one, "--platform", two, "--platform", three)
		Expect(out).To(And(
			MatchRegexp(`configuration +daemons disagree:\n  nx at `+one+` +4\n  ny at `+two+` +4\n  nz at `+three+` +3\n`),
			MatchRegexp(`evacuated y for +daemons disagree:\n(.*\n){2}  nz at `+three+` +-\n`),
			MatchRegexp(`demand +daemons disagree:\n(.*\n){2}  nz at `+three+` +-\n`),
			MatchRegexp(`cut off from endpoints +daemons disagree:\n(.*\n){2}  nz at `+three+` +yes\n`),
		))
	})

	// Guards against daemons that are out of reach and hide the others, or are not noticed by scripts.
	It("tells which daemons do not answer", func() {
		silent := testbed.Serve(http.NotFoundHandler())
		silent.Kill()
		old := testbed.Serve(http.NotFoundHandler()) // as a daemon of the previous version
		code, out := run("status", "--platform", silent.Address(), "--platform", old.Address(), "--platform", daemon(status("nx", 4, 300)))
		Expect(code).To(Equal(exitDaemonsUnhealthy))
		Expect(out).To(And(HavePrefix("1 of 3 daemons answer\n"), ContainSubstring("! "+silent.Address()+" does not answer: "), ContainSubstring("! "+old.Address()+" does not answer: 404"), ContainSubstring("configuration")))
		Expect(first(run("status", "--platform", silent.Address()))).To(Equal(exitDaemonsUnhealthy))
		Expect(first(run("status"))).To(Equal(exitUsage))
		Expect(first(run("status", "--platform", silent.Address(), "--daemon", silent.Address()))).To(Equal(exitUsage))
	})
})
