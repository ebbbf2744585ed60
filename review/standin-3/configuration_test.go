package standin3

// Names in the configuration of all cases.
const (
	host   = "calls.example"
	apiKey = "key-of-council"
	tenant = "council"
)

// Services of all cases: an engine's and a plain one.
const (
	serviceEngine = "scribe"
	servicePlain  = "ledger"
)

// route returns a route of the configuration.
func route(prefix, kind, service string, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": "r-" + prefix, "host": host, "prefix": "/" + prefix + "/", "kind": kind, "timeout-ms": 12000, "target-latency-ms": 400,
		"priority": 1, "service": service, "max-attempts": attempts, "public": false, "resumable": resumable,
		"session-affinity": kind == "stream", "gap-target-ms": 400,
	}
}

// configuration returns a version of the operators' configuration with the figures of the small sites.
func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{
				"name": serviceEngine, "health-path": "/health", "max-connections": 370, "protocol": "h1", "cold-s": 0, "cold-per-s": 0,
				"engine": map[string]any{"slots": 64, "kv-capacity-tokens": 505355, "kv-token-bytes": 163840},
			},
			map[string]any{"name": servicePlain, "health-path": "/health", "max-connections": 110, "protocol": "h1", "cold-s": 0, "cold-per-s": 0},
		},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": []string{apiKey}, "priority": 1}},
	}
}
