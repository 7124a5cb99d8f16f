package main

// configLimits and configTenants are parts of each configuration.
var (
	configLimits = map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000, "idle_timeout_ms": 10000,
	}
	configTenants = []any{map[string]any{"name": "bozi300", "api_keys": []string{clientKey}}}
)

// modelService is a service of model engines.
func modelService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 64, "kv_capacity": 370570, "kv_bytes": 163840, "link_mbps": 1100000.0, "stride": 3, "most": 12, "pin_ms": 4000.0,
		"hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": []any{map[string]any{"name": "m"}},
	}}
}

// modelHeaders are the headers of a request to a model engine, whose last part is its own.
func modelHeaders() string {
	return "Mangostage-Model: m\r\nMangostage-Token-Usage: 100,20\r\nMangostage-Prefix-Hash: 5c1e07a2:80," + newID()[:8] + ":20\r\n"
}
