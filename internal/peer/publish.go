package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/rendezvous"
)

// Links that a publication to the fleet passes: to a relay, to the other data
// centre, to the daemons there.
const (
	hopsFromOrigin = 0
	hopsAcross     = 1
	hopsFromRelay  = 2
)

// Publish implements Mesh.
func (n *Network) Publish(topic Topic, scope Scope, body any) {
	n.publish(topic, scope, body, false)
}

// PublishSoon implements Mesh.
func (n *Network) PublishSoon(topic Topic, scope Scope, body any) {
	n.publish(topic, scope, body, true)
}

func (n *Network) publish(topic Topic, scope Scope, body any, mayWait bool) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		n.options.Logger.Error("soft state has no encoding", "topic", topic, "error", err)
		return
	}
	f := frame{Kind: framePublish, Name: string(topic), Body: encoded}
	if scope == ScopeFleet {
		f.ID = n.sequence.Add(1)
		f.Origin = n.options.Self
		f.MayWait = mayWait
	}
	routing := n.routing.Load()
	n.sendSoft(f, routing.local, mayWait)
	if scope == ScopeFleet {
		n.forwardAcross(f, routing)
	}
}

// receive handles soft state that came on a link.
func (n *Network) receive(l *link, f frame) {
	routing := n.routing.Load()
	if f.Origin == "" {
		n.deliver(l.remote.Daemon, f)
		return
	}
	local := l.remote.DataCentre == n.options.DataCentre
	if local == (f.Hops == hopsAcross) || f.Hops > hopsFromRelay {
		n.counters.strayFrames.Inc()
		return
	}
	if f.Origin == n.options.Self || !n.windows.admit(f.Origin, f.ID, time.Now()) {
		n.counters.duplicates.Inc()
		return
	}
	n.deliver(f.Origin, f)
	switch f.Hops {
	case hopsFromOrigin:
		n.forwardAcross(f, routing)
	case hopsAcross:
		f.Hops = hopsFromRelay
		n.counters.forwarded.Inc()
		n.sendSoft(f, routing.local, f.MayWait)
	}
}

func (n *Network) deliver(from fleet.DaemonID, f frame) {
	if handler, ok := n.handlers[Topic(f.Name)]; ok {
		handler(from, f.Body)
	}
}

// forwardAcross sends a publication of the own data centre to the others that
// this daemon forwards the publisher's state to.
func (n *Network) forwardAcross(f frame, routing *routing) {
	f.Hops = hopsAcross
	for dataCentre, links := range routing.regional {
		if rendezvous.Chosen(string(f.Origin), routing.relays[dataCentre], 1, n.options.Self) {
			n.counters.forwarded.Inc()
			n.sendSoft(f, links[:1], f.MayWait)
		}
	}
}

// sendSoft queues one frame on links. Unless it may wait, it goes at once.
func (n *Network) sendSoft(f frame, links []*link, mayWait bool) {
	if len(links) == 0 {
		return
	}
	data, err := encodeFrame(f)
	if err != nil {
		n.options.Logger.Error("soft state has no encoding", "topic", f.Name, "error", err)
		return
	}
	for _, l := range links {
		if l.queue.pushSoft(data) {
			n.counters.dropped(Topic(f.Name))
		}
		if !mayWait {
			l.queue.flush()
		}
	}
}
