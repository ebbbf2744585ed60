package review

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMS, attempts         int
	isResumable, isPublic       bool
}

const (
	host      = "ficu95.example"
	clientKey = "n2ctnfzs989anu6wsjnb"
	tenant    = "hule930"
	engines   = "scribe-llm"
	records   = "ledger-app"
)

// putConfiguration writes a version of the configuration.
func (w *world) putConfiguration(version int, routes ...route) {
	var encoded []any
	for _, r := range routes {
		encoded = append(encoded, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "kind": r.kind, "timeout-ms": r.timeoutMS, "target-latency-ms": 400,
			"priority": 0, "service": r.service, "max-attempts": r.attempts, "public": r.isPublic, "session-affinity": r.kind == "stream",
			"resumable": r.isResumable, "gap-target-ms": 400,
		})
	}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": encoded,
		"services": []any{
			map[string]any{
				"name": engines, "health-path": "/health", "max-connections": 370, "protocol": "h1", "tls": false, "cold-s": 3.0,
				"cold-per-s": 12.0, "engine": map[string]any{
					"slots": 64, "kv-capacity-tokens": 505355, "kv-token-bytes": 163840, "link-mbps": 1100000.0, "stride": 7, "most": 2,
					"models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{
				"name": records, "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false, "cold-s": 0.0,
				"cold-per-s": 0.0,
			},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": []string{clientKey}, "priority": 1}},
	})
	w.note("configuration %d is confirmed", version)
}
