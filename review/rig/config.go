package rig

// Object is a JSON object.
type Object = map[string]any

// Route returns a route of the configuration.
func Route(name, prefix, kind, service string, more Object) Object {
	r := Object{
		"name": name, "host": Host, "prefix": prefix, "route_kind": kind, "timeout_ms": 6000, "slo_ms": 1500, "priority": 1,
		"service": service, "max_attempts": 1, "stages": []Object{}, "public": false, "sticky": false, "resumable": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// PlainService, ModelService and StageService return services of the configuration, with the
// figures of the small site.
func PlainService(name string) Object {
	return Object{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}
}

// ModelService returns a service of model engines.
func ModelService(name string) Object {
	return Object{
		"name": name, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
		"engine": Object{
			"slots": 64, "kv_capacity": 370570, "kv_bytes": 163840, "link_mbps": 1100000.0, "moves": true, "backups": true,
			"stride": 3, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": []Object{{"name": "m"}},
		},
	}
}

// StageService returns a service of a stage.
func StageService(name string, batch int, callMs, itemMs float64) Object {
	return Object{
		"name": name, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
		"segments": Object{
			"slots": 1, "queue": 2, "batch": batch, "call_ms": callMs, "item_ms": itemMs, "headroom_mb": 45.0,
			"handle_ttl_s": 4.0, "link_mbps": 10000,
		},
	}
}

// PutConfig writes a configuration.
func (r *Rig) PutConfig(version int, routes, services []Object) {
	r.Store.Put("op/config", Object{
		"version": version, "routes": routes, "services": services,
		"limits":  Object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []Object{{"name": Tenant, "api_keys": []string{Key}, "priority": 1}},
	})
}
