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
	benchModels   = 40
	benchTeams    = 100
	benchStep     = 50 * time.Millisecond
	benchLength   = 60 * time.Second
	benchRate     = 21.0 // requests a second of a daemon
	benchRunTimes = 10 * time.Second
)

// changingDemand is a daemon whose demand never rests, and what one peer hears.
type changingDemand struct {
	random *rand.Rand
	*state
	peer  *state
	bytes int
	last  time.Time
	ends  map[demandKey][]time.Time
	// scarce is the most wanted model.
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

// step begins and ends requests. A few models and teams have most of them.
func (d *changingDemand) step(now time.Time) {
	if d.random.Float64() < benchRate*benchStep.Seconds() {
		pick := func(of int) int { return int(float64(of) * d.random.Float64() * d.random.Float64()) }
		key := demandKey{fleet.ModelName(fmt.Sprint("model-", pick(benchModels))), fleet.TeamName(fmt.Sprint("team-", pick(benchTeams)))}
		d.ends[key] = append(d.ends[key], now.Add(time.Duration(d.random.ExpFloat64()*float64(benchRunTimes))))
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

func (d *changingDemand) tell(b *testing.B, pace usagePace, now time.Time) {
	update, changed := d.state.sent.next(d.usage(), d.scarce, d.currentNumbers(), pace.room)
	if !changed && now.Sub(d.last) < unchangedPeriod {
		return
	}
	d.last = now
	data, err := cbor.Marshal(update)
	if err != nil {
		b.Fatal(err)
	}
	d.bytes += len(data) + frameBytes
	if d.peer.learn("self", update, now) {
		b.Error("the peer is out of step")
	}
}

// wrong returns by how many requests for scarce or other models the peer is
// wrong, and how many there are.
func (d *changingDemand) wrong(scarce bool) (wrong, all int) {
	heard := d.peer.peers.of("self").usage
	for key, ends := range d.ends {
		if d.scarce[key.model] != scarce {
			continue
		}
		wrong += abs(len(ends) - heard[key].Running)
		all += len(ends)
	}
	return wrong, all
}

// BenchmarkChangingUsage measures, in virtual time, what a daemon sends while its
// demand changes all the time, and how wrong its peers are just after it.
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
	pace := paceFor(daemons)
	begin := time.Unix(1000, 0)
	next := begin
	wrong, all := map[bool]int{}, map[bool]int{}
	for now := begin; now.Before(begin.Add(benchLength)); now = now.Add(benchStep) {
		d.step(now)
		if now.Before(next) {
			continue
		}
		d.tell(b, pace, now)
		next = next.Add(pace.period)
		for _, scarce := range []bool{true, false} {
			more, of := d.wrong(scarce)
			wrong[scarce] += more
			all[scarce] += of
		}
	}
	b.ReportMetric(float64(d.bytes*(daemons-1))/benchLength.Seconds(), "sentB/s")
	b.ReportMetric(100*float64(wrong[true])/float64(all[true]), "%wrong-scarce")
	b.ReportMetric(100*float64(wrong[false])/float64(all[false]), "%wrong-others")
	b.ReportMetric(pace.period.Seconds()*1000, "ms")
	whole, err := cbor.Marshal(d.state.sent.whole())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(whole)), "B-whole")
}
