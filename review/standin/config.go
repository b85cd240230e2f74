//go:build review

package main

// deskConfig has a route of orders, which may not run twice, to a plain service.
const deskConfig = `{"version":3,"routes":[{"name":"order","host":"x.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":5000,"target_latency_ms":2000,"service":"desk","max_attempts":1}],
 "services":[{"name":"desk"}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000},"tenants":[{"name":"merchants","api_keys":["k1"]}]}`

// groupsConfig has a route of streams to groups of two engines.
const groupsConfig = `{"version":3,"routes":[{"name":"talk","host":"x.example","path_prefix":"/talk/","kind":"streaming","timeout_ms":5000,"target_latency_ms":400,"target_gap_ms":250,"service":"redactor","max_attempts":2,"stream_resumption":true,"session_affinity":true}],
 "services":[{"name":"redactor","engine":{"slots":6,"kv_tokens":100000,"stride":1,"chunk":2048,"step_ms":20,"per_seq_ms":0.1,"read_per_s":50000,"form_ms":300,"loads_per_s":5.5,"loads_at_once":8,"stall_ms":6000,"usual":{"prompt":100,"answer":10},"models":[{"name":"m0","size":2,"share":1,"pace":1,"load_s":12,"warm_s":0.3}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000},"tenants":[{"name":"merchants","api_keys":["k1"]}]}`
