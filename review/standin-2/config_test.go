package standin2

import (
	"strconv"
	"strings"
)

// route returns a route of the configuration as the operator writes it.
func route(name, kind, service string, timeout, target, attempts int, isResumable bool) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "kind": kind, "timeout-ms": timeout, "target-latency-ms": target, "priority": 1,
		"service": service, "max-attempts": attempts,
	}
	if kind == "stream" {
		r["session-affinity"], r["gap-target-ms"], r["resumable"] = true, 400, isResumable
	}

	return r
}

// configuration returns a configuration with the services, limits and one key of the sheet.
func configuration(version int, routes ...any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{
				"name": "scribe-llm", "max-connections": 370, "health-path": "/health", "cold-s": 3, "cold-per-s": coldPerSecond,
				"engine": map[string]any{"slots": 64, "kv-capacity-tokens": 505355},
			},
			map[string]any{"name": "ledger-app", "max-connections": 110, "health-path": "/health", "cold-s": 0, "cold-per-s": 0},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 10000},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{apiKey}}},
	}
}

const (
	apiKey        = "n2ctnfzs989anu6wsjnb"
	coldPerSecond = 12
)

// prompt returns the headers of a request with a session, whose last part is its own.
func prompt(session int, id string, shared, own, output int) map[string]string {
	prefix := []string{"5c1e07a2:340", strconv.FormatInt(int64(0x91bd0000+session), 16) + ":" + strconv.Itoa(shared), id[:8] + ":" + strconv.Itoa(own)}

	return map[string]string{
		"Cardamompulley-Key": apiKey, "Cardamompulley-Model": "m",
		"Cardamompulley-Token-Counts":  strconv.Itoa(340+shared+own) + "," + strconv.Itoa(output),
		"Cardamompulley-Prompt-Prefix": strings.Join(prefix, ","),
	}
}
