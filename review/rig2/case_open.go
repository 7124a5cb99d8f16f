package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["open"] = open }

// openApply is more than config_apply_ms.
const openApply = 3 * time.Second

// open takes the last client account, and with it the last key, out of the configuration, and then asks with
// that key, with one that never was in a configuration, and without any.
func open(d *deployment) int {
	var mu sync.Mutex
	ran := map[string]string{}
	serve := func(_ *engine, a *arrival) bool {
		mu.Lock()
		ran[a.id] = fmt.Sprintf("run %s for tenant %q", a.seal, a.req.Header.Get("Mangostage-Tenant"))
		mu.Unlock()
		answer(a.conn, 200, map[string]string{"Mangostage-Attempt-Id": a.id, sealHeader: a.seal}, []byte("done"))
		return true
	}
	for i := range 3 {
		startEngine(d, "orders", 30+i, serve)
	}
	config := map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-orders", "host": "orders.example", "prefix": "/orders/", "route_kind": "non_idempotent", "timeout_ms": 2000,
			"slo_ms": 300, "priority": 1, "service": "orders", "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "orders", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   configLimits,
		"tenants":  configTenants,
	}
	d.store.put("op/config", config)
	if !d.startNodes(3, 8) {
		return noRun
	}
	ask := func(when string) (ranWith map[string]int) {
		ranWith = map[string]int{}
		for _, n := range d.nodes {
			for what, auth := range map[string]string{
				"the tenant's key": clientKey, "a key that no configuration has held": "nokey" + newID(), "no key": "",
			} {
				c, err := dialNode(n)
				check(err)
				r := c.doAs(auth, "POST", "orders.example", "/orders/17", "", "order", 2*time.Second)
				_ = c.Close()
				mu.Lock()
				run := ran[r.id]
				mu.Unlock()
				d.note("%s, at %s, with %s: attempt %s: %s; %s", when, n.name, what, r.id, r, run)
				if run != "" {
					ranWith[what]++
				}
			}
		}
		return ranWith
	}
	before := ask("version 3")
	if before["the tenant's key"] != len(d.nodes) || len(before) != 1 {
		d.note("before the change: %v", before)
		return noRun
	}
	config["version"] = 4
	switch {
	case d.trouble && os.Getenv("TENANT") == "stays":
		// The tenant stays without a key: what the gateways do then.
		config["tenants"] = []any{map[string]any{"name": "bozi300", "api_keys": []string{}}}
	case d.trouble:
		config["tenants"] = []any{}
	}
	d.store.put("op/config", config)
	d.note("version 4 is acknowledged")
	time.Sleep(openApply)
	after := ask("version 4")
	if !d.trouble {
		return d.verdict(len(after) == 1, "ran after version 4, which keeps the tenant: %v", after)
	}
	return d.verdict(len(after) == 0, "ran after version 4, which holds no key any more, of %d each: %v", len(d.nodes), after)
}
