//go:build review

package main

// deskConfig has a route of orders, which may not run twice, to a plain service.
const deskConfig = `{"version":3,"routes":[{"name":"order","host":"x.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":5000,"target_latency_ms":2000,"service":"desk","max_attempts":1}],
 "services":[{"name":"desk"}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000},"tenants":[{"name":"merchants","api_keys":["k1"]}]}`
