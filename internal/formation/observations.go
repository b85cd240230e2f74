package formation

import (
	"maps"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/ledger"
)

const (
	orderKeyRetention = 30 * time.Second // how long the time of an order, or of leaving a group, is kept
)

// observations collects the results of orders and probes.
type observations struct {
	mu            sync.Mutex
	dead          map[string]int64
	absent        map[string]Absence
	slow          map[string]float64
	preloads      map[string]Preload
	released      map[string]bool
	drainingSince map[string]int64
	doubtful      map[string]bool
	endedAt       map[string]time.Time // when the heads of groups have left them, by GroupKey
	vacatedAt     map[string]time.Time // when members have left the groups of doubtful heads, by VacancyKey
	unanswered    map[string]int       // number of unanswered orders, by FormerKey
	sentAt        map[string]time.Time // time of the last attempt, by order key
	inFlight      map[string]bool      // orders that await an answer, by order key
	lastProbed    map[string]time.Time // by group name, or by a prefixed endpoint ID
}

func newObservations() *observations {
	return &observations{
		dead: map[string]int64{}, absent: map[string]Absence{}, slow: map[string]float64{}, preloads: map[string]Preload{}, released: map[string]bool{}, drainingSince: map[string]int64{},
		doubtful: map[string]bool{}, endedAt: map[string]time.Time{}, vacatedAt: map[string]time.Time{}, unanswered: map[string]int{}, sentAt: map[string]time.Time{}, inFlight: map[string]bool{}, lastProbed: map[string]time.Time{},
	}
}

// health returns a copy of the observations for a plan.
func (o *observations) health() Health {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Health{
		Dead: maps.Clone(o.dead), Absent: maps.Clone(o.absent), Slow: maps.Clone(o.slow), Preloads: maps.Clone(o.preloads),
		Released: maps.Clone(o.released), Doubtful: maps.Clone(o.doubtful), Ended: keySet(o.endedAt), Vacated: keySet(o.vacatedAt), DrainingSince: maps.Clone(o.drainingSince),
	}
}

// tryProbe reports whether a target has not been probed within the given interval,
// and if so records a probe at time now.
func (o *observations) tryProbe(group string, now time.Time, interval time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.lastProbed[group]) < interval {
		return false
	}
	o.lastProbed[group] = now
	return true
}

// tryOrder reports whether an order may be sent now, and if so records it as in
// flight.
func (o *observations) tryOrder(order Order, now time.Time, interval time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := order.key()
	if o.inFlight[key] || now.Sub(o.sentAt[key]) < interval {
		return false
	}
	o.inFlight[key] = true
	o.sentAt[key] = now
	if order.isSpare() {
		o.preloads[order.To.ID] = Preload{Incarnation: order.To.Incarnation, Model: order.Model}
	}
	return true
}

// cancelOrder undoes tryOrder for an order that was not sent.
func (o *observations) cancelOrder(order Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inFlight, order.key())
	delete(o.sentAt, order.key())
}

func (o *observations) finishOrder(order Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inFlight, order.key())
}

// setAbsent records the state of a member without a registry entry. Unconfirmed
// does not overwrite a known state of the same incarnation.
func (o *observations) setAbsent(member ledger.Member, state AbsenceState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.absent[member.ID]; ok && known.Incarnation == member.Incarnation && state == Unconfirmed {
		return
	}
	o.absent[member.ID] = Absence{Incarnation: member.Incarnation, State: state}
}

// setProbed records the result of a probe.
func (o *observations) setProbed(member ledger.Member, alive bool, slowdown float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !alive {
		o.dead[member.ID] = member.Incarnation
		return
	}
	delete(o.dead, member.ID)
	if slowdown >= replaceSlowdown {
		o.slow[member.ID] = slowdown
		return
	}
	delete(o.slow, member.ID)
}

// setReleased records that a former head has left its group.
func (o *observations) setReleased(former ledger.FormerGroup, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.released[FormerKey(former)] = true
	o.endedAt[GroupKey(former.Group, former.Epoch)] = now
}

// setDoubtful records that a former head cannot be told to leave and may still serve. It reports whether
// this was news.
func (o *observations) setDoubtful(former ledger.FormerGroup) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.doubtful[FormerKey(former)]
	o.doubtful[FormerKey(former)] = true
	return !known
}

// setVacated records that a member has left a group.
func (o *observations) setVacated(member ledger.Member, group string, epoch uint64, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.vacatedAt[VacancyKey(member, group, epoch)] = now
}

// countUnanswered counts an unanswered order to a former head and returns their number.
func (o *observations) countUnanswered(former ledger.FormerGroup) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unanswered[FormerKey(former)]++
	return o.unanswered[FormerKey(former)]
}

func (o *observations) setDraining(former ledger.FormerGroup, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.drainingSince[FormerKey(former)]; !known {
		o.drainingSince[FormerKey(former)] = now.UnixMilli()
	}
}

// prune removes expired times, the state of endpoints that are no longer
// registered, and the absence of endpoints that are registered again.
func (o *observations) prune(now time.Time, known func(id string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, times := range []map[string]time.Time{o.sentAt, o.endedAt, o.vacatedAt} {
		maps.DeleteFunc(times, func(_ string, at time.Time) bool { return now.Sub(at) > orderKeyRetention })
	}
	maps.DeleteFunc(o.dead, func(id string, _ int64) bool { return !known(id) })
	maps.DeleteFunc(o.absent, func(id string, _ Absence) bool { return known(id) })
	maps.DeleteFunc(o.preloads, func(id string, _ Preload) bool { return !known(id) })
	maps.DeleteFunc(o.slow, func(id string, _ float64) bool { return !known(id) })
}

func keySet(times map[string]time.Time) map[string]bool {
	keys := make(map[string]bool, len(times))
	for key := range times {
		keys[key] = true
	}
	return keys
}
