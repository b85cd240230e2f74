package fakes

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// Configure writes a version of the configuration with a timeout of idle callers and one of the route of
// orders. A version with an odd number has another target latency of the route of streams. Each of the lanes has two
// routes of orders, below /order/ and /lane/, and one of safe requests, below /look/, that may be sent to three endpoints.
func (p *WirePlatform) Configure(version int, idle, order time.Duration, lanes ...int) error {
	var more strings.Builder
	for _, lane := range lanes {
		for _, prefix := range []string{"order", "lane", "look"} {
			kind := "unsafe"
			if prefix == "look" {
				kind = "safe"
			}
			_, _ = fmt.Fprintf(&more, `,{"name":"%[1]s-%[2]d","host":"x.example","path_prefix":"/%[1]s/%[2]d/","kind":"%[3]s","timeout_ms":3000,"service":"desk","max_attempts":3}`, prefix, lane, kind)
		}
	}
	text := strings.NewReplacer(
		`"version":1,"routes"`, fmt.Sprintf(`"version":%d,"routes"`, version),
		`"max_attempts":1}],`, `"max_attempts":1}`+more.String()+`],`,
		`"timeout_ms":3000`, fmt.Sprintf(`"timeout_ms":%d`, order.Milliseconds()),
		`"target_latency_ms":400`, fmt.Sprintf(`"target_latency_ms":%d`, 400+version%2*200),
		`"max_body_bytes":100000`, fmt.Sprintf(`"max_body_bytes":100000,"idle_timeout_ms":%d`, idle.Milliseconds()),
	).Replace(wirePlatformConfig)
	return p.store.Log.Put(context.Background(), operatorsTopic, keyed.Record{Key: "config", Value: []byte(text)})
}
