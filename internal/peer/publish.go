package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/rendezvous"
)

// Values of frame.Hops: the number of links that a publication to the fleet had
// passed before the current one. It goes from the publisher to a relay, from
// there to another data centre, and then to the daemons of that data centre.
const (
	hopsFromOrigin   = 0 // sent by the publisher in its own data centre
	hopsToDataCentre = 1 // sent to another data centre
	hopsFromRelay    = 2 // forwarded inside the other data centre
)

// Publish implements Mesh.
func (n *Network) Publish(topic Topic, scope Scope, body any) {
	n.publish(topic, scope, body, false)
}

// PublishSoon implements Mesh.
func (n *Network) PublishSoon(topic Topic, scope Scope, body any) {
	n.publish(topic, scope, body, true)
}

func (n *Network) publish(topic Topic, scope Scope, body any, deferrable bool) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		n.options.Logger.Error("soft state cannot be encoded", "topic", topic, "error", err)
		return
	}
	f := frame{Kind: framePublish, Name: string(topic), Body: encoded}
	if scope == ScopeFleet {
		f.ID = n.sequence.Add(1)
		f.Origin = n.options.Self
		f.Deferrable = deferrable
	}
	routing := n.routing.Load()
	n.sendSoft(f, routing.local, deferrable)
	if scope == ScopeFleet {
		n.forwardToDataCentres(f, routing)
	}
}

// receive handles soft state received on a link.
func (n *Network) receive(l *link, f frame) {
	routing := n.routing.Load()
	if f.Origin == "" {
		n.deliver(l.remote.Daemon, f)
		return
	}
	local := l.remote.DataCentre == n.options.DataCentre
	if local == (f.Hops == hopsToDataCentre) || f.Hops > hopsFromRelay {
		n.counters.strayFrames.Inc()
		return
	}
	if f.Origin == n.options.Self || !n.deduplicator.admit(f.Origin, f.ID, time.Now()) {
		n.counters.duplicates.Inc()
		return
	}
	n.deliver(f.Origin, f)
	switch f.Hops {
	case hopsFromOrigin:
		n.forwardToDataCentres(f, routing)
	case hopsToDataCentre:
		f.Hops = hopsFromRelay
		n.counters.forwarded.Inc()
		n.sendSoft(f, routing.local, f.Deferrable)
	}
}

func (n *Network) deliver(from fleet.DaemonID, f frame) {
	if handler, ok := n.handlers[Topic(f.Name)]; ok {
		handler(from, f.Body)
	}
}

// forwardToDataCentres forwards a publication of the local data centre to the
// other data centres for which this daemon is the relay of the publisher.
func (n *Network) forwardToDataCentres(f frame, routing *routing) {
	f.Hops = hopsToDataCentre
	for dataCentre, links := range routing.byDataCentre {
		if rendezvous.Chosen(string(f.Origin), routing.relays[dataCentre], 1, n.options.Self) {
			n.counters.forwarded.Inc()
			n.sendSoft(f, links[:1], f.Deferrable)
		}
	}
}

// sendSoft queues a frame of soft state on links and flushes them unless it is
// deferrable.
func (n *Network) sendSoft(f frame, links []*link, deferrable bool) {
	if len(links) == 0 {
		return
	}
	data, err := encodeFrame(f)
	if err != nil {
		n.options.Logger.Error("soft state cannot be encoded", "topic", f.Name, "error", err)
		return
	}
	for _, l := range links {
		if l.queue.pushSoft(data) {
			n.counters.dropped(Topic(f.Name))
		}
		if !deferrable {
			l.queue.flush()
		}
	}
}
