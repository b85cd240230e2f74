package formation

import (
	"maps"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/ledger"
)

const (
	unreachableTries = 2                // orders without an answer after which an absent head counts as gone
	rememberOrders   = 30 * time.Second // for which an order's key is kept
)

// memory is what orders and probes showed.
type memory struct {
	mu         sync.Mutex
	dead       map[string]int64
	absent     map[string]Absence
	slow       map[string]float64
	promised   map[string]Promise
	letGo      map[string]bool
	closing    map[string]int64
	unanswered map[string]int       // by key of a former head
	sent       map[string]time.Time // by key of an order
	underway   map[string]bool      // orders whose answer is awaited, by key
	lastProbed map[string]time.Time // by group
}

func newMemory() *memory {
	return &memory{
		dead: map[string]int64{}, absent: map[string]Absence{}, slow: map[string]float64{}, promised: map[string]Promise{}, letGo: map[string]bool{}, closing: map[string]int64{},
		unanswered: map[string]int{}, sent: map[string]time.Time{}, underway: map[string]bool{}, lastProbed: map[string]time.Time{},
	}
}

// health returns a copy of what is known.
func (m *memory) health() Health {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Health{Dead: maps.Clone(m.dead), Absent: maps.Clone(m.absent), Slow: maps.Clone(m.slow), Promised: maps.Clone(m.promised), LetGo: maps.Clone(m.letGo), Closing: maps.Clone(m.closing)}
}

// mayProbe reports whether a group was not probed within a time, and notes that
// it is now.
func (m *memory) mayProbe(group string, now time.Time, every time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastProbed[group]) < every {
		return false
	}
	m.lastProbed[group] = now
	return true
}

// begin reports whether an order may be given now, and notes that it is.
func (m *memory) begin(order Order, now time.Time, again time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := order.key()
	if m.underway[key] || now.Sub(m.sent[key]) < again {
		return false
	}
	m.underway[key] = true
	m.sent[key] = now
	if order.isSpare() {
		m.promised[order.To.ID] = Promise{Born: order.To.Born, Model: order.Model}
	}
	return true
}

// cancel takes back that an order was given.
func (m *memory) cancel(order Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.underway, order.key())
	delete(m.sent, order.key())
}

func (m *memory) finish(order Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.underway, order.key())
}

// setAbsent notes what is known of a member whose entry is missing. A question
// changes nothing that is known of the same life.
func (m *memory) setAbsent(member ledger.Member, state AbsenceState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.absent[member.ID]; ok && known.Born == member.Born && state == Asked {
		return
	}
	m.absent[member.ID] = Absence{Born: member.Born, State: state}
}

// setProbed notes what a probe of an endpoint showed.
func (m *memory) setProbed(member ledger.Member, alive bool, slowBy float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !alive {
		m.dead[member.ID] = member.Born
		return
	}
	delete(m.dead, member.ID)
	if slowBy >= tooSlow {
		m.slow[member.ID] = slowBy
		return
	}
	delete(m.slow, member.ID)
}

// noteLetGo notes that a former head can serve no more.
func (m *memory) noteLetGo(former ledger.Former) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.letGo[FormerKey(former)] = true
}

// noteUnanswered counts orders to a former head that got no answer, and reports
// whether there were enough to give it up.
func (m *memory) noteUnanswered(former ledger.Former) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := FormerKey(former)
	m.unanswered[key]++
	return m.unanswered[key] >= unreachableTries
}

func (m *memory) noteClosing(former ledger.Former, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.closing[FormerKey(former)]; !known {
		m.closing[FormerKey(former)] = now.UnixMilli()
	}
}

// forget drops what is old, and marks of endpoints that are not known any more.
func (m *memory) forget(now time.Time, known func(id string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.sent, func(_ string, at time.Time) bool { return now.Sub(at) > rememberOrders })
	maps.DeleteFunc(m.dead, func(id string, _ int64) bool { return !known(id) })
	maps.DeleteFunc(m.absent, func(id string, _ Absence) bool { return known(id) })
	maps.DeleteFunc(m.promised, func(id string, _ Promise) bool { return !known(id) })
	maps.DeleteFunc(m.slow, func(id string, _ float64) bool { return !known(id) })
}
