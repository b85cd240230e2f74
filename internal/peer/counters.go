package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/metric"
)

// counters are the metrics of a mesh.
type counters struct {
	set               *metric.Set
	sentBytes         *metrics.Counter
	sentMessages      *metrics.Counter
	receivedBytes     *metrics.Counter
	strayFrames       *metrics.Counter
	lateCalls         *metrics.Counter
	duplicates        *metrics.Counter
	forwarded         *metrics.Counter
	relayedStreams    *metrics.Counter
	refusedHandshakes *metrics.Counter
}

func newCounters(set *metric.Set) *counters {
	return &counters{
		set:               set,
		sentBytes:         set.Counter("plantainmux_peer_sent_bytes_total"),
		sentMessages:      set.Counter("plantainmux_peer_sent_messages_total"),
		receivedBytes:     set.Counter("plantainmux_peer_received_bytes_total"),
		strayFrames:       set.Counter("plantainmux_peer_stray_frames_total"),
		lateCalls:         set.Counter("plantainmux_peer_late_calls_total"),
		duplicates:        set.Counter("plantainmux_peer_duplicates_total"),
		forwarded:         set.Counter("plantainmux_peer_forwarded_total"),
		relayedStreams:    set.Counter("plantainmux_peer_relayed_streams_total"),
		refusedHandshakes: set.Counter("plantainmux_peer_refused_handshakes_total"),
	}
}

// dropped counts a soft state frame dropped from a full queue.
func (c *counters) dropped(topic Topic) {
	c.set.Counter(fmt.Sprintf(`plantainmux_peer_dropped_total{topic=%q}`, topic)).Inc()
}

// closed counts a closed link by reason.
func (c *counters) closed(reason string) {
	c.set.Counter(fmt.Sprintf(`plantainmux_peer_links_closed_total{reason=%q}`, reason)).Inc()
}
