package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/view"
)

var _ = Describe("The leaders of groups that have left the view", func() {
	// A daemon whose own requests fail drops the groups, and nobody could vouch for their leaders then.
	It("are known for a time", func() {
		start := time.Unix(1000, 0)
		leaders := knownLeaders{}
		serving := &view.Serving{Group: fleet.Group{Members: []fleet.VMID{"a", "b"}}, LeaderAddress: "10.0.0.1:80"}
		leaders.observe(&view.View{Groups: []*view.Serving{serving}}, start)
		leaders.observe(&view.View{}, start.Add(leaderRetention))
		Expect(leaders["10.0.0.1:80"].vm).To(Equal(fleet.VMID("a")))
		leaders.observe(&view.View{}, start.Add(leaderRetention+time.Millisecond))
		Expect(leaders).To(BeEmpty())
	})
})
