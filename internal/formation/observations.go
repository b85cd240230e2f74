package formation

import (
	"maps"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/ledger"
)

const (
	orderKeyRetention = 30 * time.Second // how long the time of an order is kept
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
	unanswered    map[string]int       // number of unanswered orders, by FormerKey
	answered      map[string]bool      // former heads that have answered a probe since, by FormerKey
	vacatedSince  map[string]time.Time // since when a member has left the group of a former head, by FormerKey
	sentAt        map[string]time.Time // time of the last attempt, by order key
	inFlight      map[string]bool      // orders that await an answer, by order key
	lastProbed    map[string]time.Time // by group name, or by a prefixed endpoint ID
}

func newObservations() *observations {
	return &observations{
		dead: map[string]int64{}, absent: map[string]Absence{}, slow: map[string]float64{}, preloads: map[string]Preload{}, released: map[string]bool{}, drainingSince: map[string]int64{},
		unanswered: map[string]int{}, answered: map[string]bool{}, vacatedSince: map[string]time.Time{}, sentAt: map[string]time.Time{}, inFlight: map[string]bool{}, lastProbed: map[string]time.Time{},
	}
}

// health returns a copy of the observations for a plan.
func (o *observations) health() Health {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Health{Dead: maps.Clone(o.dead), Absent: maps.Clone(o.absent), Slow: maps.Clone(o.slow), Preloads: maps.Clone(o.preloads), Released: maps.Clone(o.released), DrainingSince: maps.Clone(o.drainingSince)}
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

// setReleased records that a former head can no longer serve its group.
func (o *observations) setReleased(former ledger.FormerGroup) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.released[FormerKey(former)] = true
}

// countUnanswered counts an unanswered order to a former head, if another member of its group has answered,
// and returns what is known of the head. answered states that the head has answered a probe.
func (o *observations) countUnanswered(former ledger.FormerGroup, answered, companion bool, now time.Time) silentHead {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := FormerKey(former)
	if companion {
		o.unanswered[key]++
	}
	o.answered[key] = o.answered[key] || answered
	since, vacated := o.vacatedSince[key]
	return silentHead{unanswered: o.unanswered[key], answered: o.answered[key], companion: companion, vacated: vacated, vacatedFor: now.Sub(since)}
}

// setVacated records that a member has left the group of a former head.
func (o *observations) setVacated(former ledger.FormerGroup, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.vacatedSince[FormerKey(former)]; !known {
		o.vacatedSince[FormerKey(former)] = now
	}
}

func (o *observations) setDraining(former ledger.FormerGroup, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.drainingSince[FormerKey(former)]; !known {
		o.drainingSince[FormerKey(former)] = now.UnixMilli()
	}
}

// prune removes expired order times, the state of endpoints that are no longer
// registered, and the absence of endpoints that are registered again.
func (o *observations) prune(now time.Time, known func(id string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.sentAt, func(_ string, at time.Time) bool { return now.Sub(at) > orderKeyRetention })
	maps.DeleteFunc(o.dead, func(id string, _ int64) bool { return !known(id) })
	maps.DeleteFunc(o.absent, func(id string, _ Absence) bool { return known(id) })
	maps.DeleteFunc(o.preloads, func(id string, _ Preload) bool { return !known(id) })
	maps.DeleteFunc(o.slow, func(id string, _ float64) bool { return !known(id) })
}
