package main

// configLimits and configTenants are parts of each configuration.
var (
	configLimits = map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000, "idle_timeout_ms": 10000,
	}
	configTenants = []any{map[string]any{"name": "bozi300", "api_keys": []string{clientKey}}}
)
