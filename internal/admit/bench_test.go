package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/view"
)

const (
	benchModels       = 40
	benchTeams        = 100
	benchStep         = 50 * time.Millisecond
	benchDuration     = 60 * time.Second
	benchRequestsPerS = 21.0 // of one daemon
	benchMeanRunTime  = 10 * time.Second
)

// changingDemand is a daemon whose demand changes constantly, with one peer that receives its
// updates.
type changingDemand struct {
	random *rand.Rand
	*state
	peer        *state
	bytes       int
	lastPublish time.Time
	ends        map[demandKey][]time.Time
	// scarce holds the model with the highest demand.
	scarce map[fleet.ModelName]bool
}

func newChangingDemand(views *view.Store) *changingDemand {
	return &changingDemand{
		random: rand.New(rand.NewPCG(1, 2)),
		state:  newState(views, Bounds{QueueLength: 256}, newPeers("self", 2)),
		peer:   newState(views, Bounds{}, newPeers("peer", 2)),
		ends:   map[demandKey][]time.Time{},
		scarce: map[fleet.ModelName]bool{"model-0": true},
	}
}

// step starts and ends requests. A few models and teams get most of them.
func (d *changingDemand) step(now time.Time) {
	if d.random.Float64() < benchRequestsPerS*benchStep.Seconds() {
		pick := func(of int) int { return int(float64(of) * d.random.Float64() * d.random.Float64()) }
		key := demandKey{fleet.ModelName(fmt.Sprint("model-", pick(benchModels))), fleet.TeamName(fmt.Sprint("team-", pick(benchTeams)))}
		d.ends[key] = append(d.ends[key], now.Add(time.Duration(d.random.ExpFloat64()*float64(benchMeanRunTime))))
	}
	for key, ends := range d.ends {
		var left []time.Time
		for _, end := range ends {
			if end.After(now) {
				left = append(left, end)
			}
		}
		d.ends[key] = left
		d.pool(key.model).team(key.team).running = len(left)
	}
}

func (d *changingDemand) publish(b *testing.B, schedule usageSchedule, now time.Time) {
	update, changed := d.state.published.nextUpdate(d.usage(), d.scarce, d.currentNumbers(), schedule.room)
	if !changed && now.Sub(d.lastPublish) < unchangedInterval {
		return
	}
	d.lastPublish = now
	data, err := cbor.Marshal(update)
	if err != nil {
		b.Fatal(err)
	}
	d.bytes += len(data) + frameBytes
	if d.peer.applyUpdate("self", update, now) {
		b.Error("the peer's usage differs from the published usage")
	}
}

// divergence returns by how many requests the peer's view is wrong, for the scarce models
// or for the others, and the number of these requests.
func (d *changingDemand) divergence(scarce bool) (wrong, all int) {
	received := d.peer.peers.usageOf("self").usage
	for key, ends := range d.ends {
		if d.scarce[key.model] != scarce {
			continue
		}
		wrong += abs(len(ends) - received[key].Running)
		all += len(ends)
	}
	return wrong, all
}

// BenchmarkChangingUsage measures, in virtual time, how much a daemon sends while its demand
// changes constantly, and how far the view of its peers diverges right after an update.
func BenchmarkChangingUsage(b *testing.B) {
	current := &view.View{Config: config.Versioned{Version: 1000}}
	for i := range benchModels {
		current.Config.Models = append(current.Config.Models, config.Model{Name: fleet.ModelName(fmt.Sprint("model-", i))})
	}
	for i := range benchTeams {
		current.Config.Teams = append(current.Config.Teams, config.Team{Name: fleet.TeamName(fmt.Sprint("team-", i)), Share: 1})
	}
	views := view.NewStore()
	views.Publish(current)
	for _, daemons := range []int{8, 24, 47} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			for b.Loop() {
				measureChangingUsage(b, newChangingDemand(views), daemons)
			}
		})
	}
}

func measureChangingUsage(b *testing.B, d *changingDemand, daemons int) {
	schedule := scheduleFor(daemons)
	begin := time.Unix(1000, 0)
	next := begin
	wrong, all := map[bool]int{}, map[bool]int{}
	for now := begin; now.Before(begin.Add(benchDuration)); now = now.Add(benchStep) {
		d.step(now)
		if now.Before(next) {
			continue
		}
		d.publish(b, schedule, now)
		next = next.Add(schedule.period)
		for _, scarce := range []bool{true, false} {
			more, of := d.divergence(scarce)
			wrong[scarce] += more
			all[scarce] += of
		}
	}
	b.ReportMetric(float64(d.bytes*(daemons-1))/benchDuration.Seconds(), "sentB/s")
	b.ReportMetric(100*float64(wrong[true])/float64(all[true]), "%wrong-scarce")
	b.ReportMetric(100*float64(wrong[false])/float64(all[false]), "%wrong-others")
	b.ReportMetric(schedule.period.Seconds()*1000, "ms")
	snapshot, err := cbor.Marshal(d.state.published.snapshot())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(snapshot)), "B-whole")
}
