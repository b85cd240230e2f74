//go:build review

package main

// route of a configuration, as the operators write it.
type route map[string]any

func safeRoute(name, service string) route {
	return route{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2,
		"service": service, "max_attempts": 2,
	}
}

func unsafeRoute(name, service string) route {
	return route{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2,
		"service": service, "max_attempts": 1,
	}
}

func streamRoute(name, service string) route {
	return route{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 250, "target_gap_ms": 200,
		"priority": 1, "service": service, "max_attempts": 2, "stream_resumption": true,
	}
}

// configure writes a configuration.
func (w *world) configure(version int, services []string, keys map[string][]string, routes ...route) {
	var listed, tenants []map[string]any
	for _, name := range services {
		listed = append(listed, map[string]any{"name": name, "health_check_path": healthPath, "max_connections": 400})
	}
	for tenant, held := range keys {
		tenants = append(tenants, map[string]any{"name": tenant, "api_keys": held})
	}
	w.store.putJSON(topicOperators, "config", map[string]any{
		"version": version, "routes": routes, "services": listed, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	w.note("configuration %d acknowledged", version)
}
