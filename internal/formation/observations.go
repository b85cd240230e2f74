package formation

import (
	"maps"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/ledger"
)

const (
	maxUnansweredOrders = 2                // before a former head without a registry entry counts as gone
	orderKeyRetention   = 30 * time.Second // how long the time of an order is kept
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
	sentAt        map[string]time.Time // time of the last attempt, by order key
	inFlight      map[string]bool      // orders that await an answer, by order key
	lastProbed    map[string]time.Time // by group name, or by a prefixed endpoint ID
}

func newObservations() *observations {
	return &observations{
		dead: map[string]int64{}, absent: map[string]Absence{}, slow: map[string]float64{}, preloads: map[string]Preload{}, released: map[string]bool{}, drainingSince: map[string]int64{},
		unanswered: map[string]int{}, sentAt: map[string]time.Time{}, inFlight: map[string]bool{}, lastProbed: map[string]time.Time{},
	}
}

// health returns a copy of the observations for a plan.
func (m *observations) health() Health {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Health{Dead: maps.Clone(m.dead), Absent: maps.Clone(m.absent), Slow: maps.Clone(m.slow), Preloads: maps.Clone(m.preloads), Released: maps.Clone(m.released), DrainingSince: maps.Clone(m.drainingSince)}
}

// tryProbe reports whether a target has not been probed within the given interval,
// and if so records a probe at time now.
func (m *observations) tryProbe(group string, now time.Time, interval time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastProbed[group]) < interval {
		return false
	}
	m.lastProbed[group] = now
	return true
}

// tryOrder reports whether an order may be sent now, and if so records it as in
// flight.
func (m *observations) tryOrder(order Order, now time.Time, interval time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := order.key()
	if m.inFlight[key] || now.Sub(m.sentAt[key]) < interval {
		return false
	}
	m.inFlight[key] = true
	m.sentAt[key] = now
	if order.isSpare() {
		m.preloads[order.To.ID] = Preload{Born: order.To.Born, Model: order.Model}
	}
	return true
}

// cancelOrder undoes tryOrder for an order that was not sent.
func (m *observations) cancelOrder(order Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inFlight, order.key())
	delete(m.sentAt, order.key())
}

func (m *observations) finishOrder(order Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inFlight, order.key())
}

// setAbsent records the state of a member without a registry entry. Unconfirmed
// does not overwrite a known state of the same incarnation.
func (m *observations) setAbsent(member ledger.Member, state AbsenceState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.absent[member.ID]; ok && known.Born == member.Born && state == Unconfirmed {
		return
	}
	m.absent[member.ID] = Absence{Born: member.Born, State: state}
}

// setProbed records the result of a probe.
func (m *observations) setProbed(member ledger.Member, alive bool, slowBy float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !alive {
		m.dead[member.ID] = member.Born
		return
	}
	delete(m.dead, member.ID)
	if slowBy >= replaceSlowdown {
		m.slow[member.ID] = slowBy
		return
	}
	delete(m.slow, member.ID)
}

// setReleased records that a former head can no longer serve its group.
func (m *observations) setReleased(former ledger.Former) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released[FormerKey(former)] = true
}

// countUnanswered counts an unanswered order to a former head, and reports whether
// the count has reached maxUnansweredOrders.
func (m *observations) countUnanswered(former ledger.Former) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := FormerKey(former)
	m.unanswered[key]++
	return m.unanswered[key] >= maxUnansweredOrders
}

func (m *observations) setDraining(former ledger.Former, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.drainingSince[FormerKey(former)]; !known {
		m.drainingSince[FormerKey(former)] = now.UnixMilli()
	}
}

// prune removes expired order times, the state of endpoints that are no longer
// registered, and the absence of endpoints that are registered again.
func (m *observations) prune(now time.Time, known func(id string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.sentAt, func(_ string, at time.Time) bool { return now.Sub(at) > orderKeyRetention })
	maps.DeleteFunc(m.dead, func(id string, _ int64) bool { return !known(id) })
	maps.DeleteFunc(m.absent, func(id string, _ Absence) bool { return known(id) })
	maps.DeleteFunc(m.preloads, func(id string, _ Preload) bool { return !known(id) })
	maps.DeleteFunc(m.slow, func(id string, _ float64) bool { return !known(id) })
}
