package catalog

import (
	"sort"
	"strings"
)

// Index provides lookups in one Config. It is immutable.
type Index struct {
	Config   *Config
	routes   map[string][]*Route
	accounts map[string]*Account
	services map[string]*Service
}

// NewIndex returns an index of c, which must not be modified afterwards.
func NewIndex(c *Config) *Index {
	x := &Index{
		Config:   c,
		routes:   make(map[string][]*Route),
		accounts: make(map[string]*Account),
		services: make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		x.routes[r.Host] = append(x.routes[r.Host], r)
	}
	for _, routes := range x.routes {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		for _, key := range a.Keys {
			// An empty key would be that of all requests without one.
			if key != "" {
				x.accounts[key] = a
			}
		}
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	return x
}

// Route returns the route of host whose prefix is the longest that matches path,
// or nil.
func (x *Index) Route(host, path string) *Route {
	for _, r := range x.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests need the key of an account on routes that are not public.
func (x *Index) NeedsKey() bool { return !x.Config.Open }

// HasKeys reports whether any account holds a key.
func (x *Index) HasKeys() bool { return len(x.accounts) > 0 }

// Account returns the account that holds key, or nil; no account holds the empty key.
func (x *Index) Account(key string) *Account { return x.accounts[key] }

// Service returns the service of that name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }
