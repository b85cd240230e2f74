//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// One route at first. The later version adds two routes below it: one to another service, one that needs no key.
const (
	oneRoute = `{"name":"docs","host":"x.example","path_prefix":"/docs/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"service":"library","max_attempts":2}`
	split    = oneRoute + `,{"name":"press","host":"x.example","path_prefix":"/docs/press/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"service":"press","max_attempts":2}` +
		`,{"name":"open","host":"x.example","path_prefix":"/docs/open/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"service":"library","max_attempts":2,"public":true}`
	documents = `{"version":%d,"routes":[%s],"services":[{"name":"library"},{"name":"press"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000},"tenants":[{"name":"merchants","api_keys":["k1"]}]}`
)

// applyTime is configuration_apply_ms and a second more.
const applyTime = 3 * time.Second

// encodedSlash asks for documents whose names hold an encoded slash, before and after a configuration that splits their
// route. Rule ROUTE: a request is run by a service to which no configuration allows it to go, or with a key that none holds.
func encodedSlash(folder string, trouble bool) (broken string) {
	platform := startStore()
	var mu sync.Mutex
	ranAt := map[string]string{} // service by request
	serve := func(e *engine, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ranAt[r.Header.Get("Request-Id")] = e.service
		mu.Unlock()
		note("engine %s (%s): runs %s %s, request %s, tenant %q", e.id, e.service, r.Method, r.RequestURI, r.Header.Get("Request-Id"), r.Header.Get("Tenant"))
		_, _ = fmt.Fprintf(w, "document of %s", e.service)
	}
	for _, service := range []string{"library", "press"} {
		for i := range 2 {
			startEngine(platform, fmt.Sprintf("%s-%d", service, i), service, "za", "", nil, serve)
		}
	}
	platform.put("keyed.op", "config", []byte(fmt.Sprintf(documents, 3, oneRoute)))
	for _, name := range []string{"front-1", "front-2"} {
		d := newDaemon(name, "za")
		d.writeSettings(folder, platform.address, true)
		fleet = append(fleet, d)
	}
	for _, d := range fleet {
		d.start(folder)
	}
	for _, d := range fleet {
		await(15*time.Second, d.name+" is ready", d.isReady)
		await(10*time.Second, "a first document through "+d.name, func() bool {
			return ask(d.callers, "GET", "/docs/first", "first-"+d.name, nil, nil, 2*time.Second).status == http.StatusOK
		})
	}
	var breaches []string
	round := func(name string) {
		for _, d := range fleet {
			for i := range 5 {
				id := fmt.Sprintf("%s-%s-%d", name, d.name, i)
				o := ask(d.callers, "GET", fmt.Sprintf("/docs/press%%2F%d/2f", i), "held-"+id, nil, nil, 2*time.Second)
				note("client with a key: GET /docs/press%%2F%d/2f at %s, request held-%s: %s, %q", i, d.name, id, o, o.body)
				o = ask(d.callers, "GET", fmt.Sprintf("/docs/open%%2F%d/2f", i), "none-"+id, map[string]string{"Authorization": ""}, nil, 2*time.Second)
				note("client without a key: GET /docs/open%%2F%d/2f at %s, request none-%s: %s", i, d.name, id, o)
				mu.Lock()
				if service := ranAt["held-"+id]; service != "" && service != "library" {
					breaches = append(breaches, fmt.Sprintf("request held-%s is run by %s; its path begins with no prefix of a route there", id, service))
				}
				if service := ranAt["none-"+id]; service != "" {
					breaches = append(breaches, fmt.Sprintf("request none-%s has no key and is run by %s; its path begins with no prefix of a public route", id, service))
				}
				mu.Unlock()
			}
		}
	}
	round("before")
	if trouble {
		note("operator: version 5 splits the route")
		platform.put("keyed.op", "config", []byte(fmt.Sprintf(documents, 5, split)))
	}
	time.Sleep(applyTime)
	round("after")
	if len(breaches) > 0 {
		return fmt.Sprintf("ROUTE: %d requests; %s", len(breaches), strings.Join([]string{breaches[0], breaches[min(1, len(breaches)-1)]}, "; "))
	}
	return ""
}
