package harness

// Link returns the way between two processes, whichever of them dials. It
// needs ProxyPeers. Processes are named as in Process.Name.
func (f *Fleet) Link(a, b string) *Link {
	f.t.Helper()
	l := &Link{t: f.t}
	from, to := f.process(a).VM, f.process(b).VM
	for _, p := range []pair{{from: from, to: to}, {from: to, to: from}} {
		if !f.cfg.ProxyPeers {
			f.t.Fatalf("no proxies between processes: set ProxyPeers")
		}
		if !f.views.dials(p.from, p.to) {
			continue
		}
		made, err := f.views.proxy(p, f.address(p.to))
		f.must(err)
		l.proxies = append(l.proxies, made)
	}
	return l
}

// Links returns the ways between a process and all others but those named, as one.
func (f *Fleet) Links(process string, except ...string) *Link {
	f.t.Helper()
	var others []string
	for _, p := range f.Processes() {
		others = append(others, p.Name)
	}
	return f.Between([]string{process}, others, except...)
}

// Between returns the ways between each of some processes and each of others,
// as one; cutting it parts the fleet in two.
func (f *Fleet) Between(some, others []string, except ...string) *Link {
	f.t.Helper()
	skip := make(map[string]bool)
	for _, name := range append(except, some...) {
		skip[name] = true
	}
	l := &Link{t: f.t}
	for _, a := range some {
		for _, b := range others {
			if !skip[b] && f.related(a, b) {
				l.proxies = append(l.proxies, f.Link(a, b).proxies...)
			}
		}
	}
	return l
}

// related tells whether two processes ever connect; two agents do not.
func (f *Fleet) related(a, b string) bool { return f.agents[a] == nil || f.agents[b] == nil }

// EndpointLink returns the way between an agent and its endpoint. It needs
// ProxyEndpoints.
func (f *Fleet) EndpointLink(endpoint string) *Link {
	f.t.Helper()
	return f.single(f.toEndpoint, endpoint)
}

// PlatformLink returns the way between a process and the platform. It needs
// ProxyPlatform.
func (f *Fleet) PlatformLink(process string) *Link {
	f.t.Helper()
	return f.single(f.toPlatform, process)
}

func (f *Fleet) single(proxies map[string]*proxy, name string) *Link {
	f.t.Helper()
	p := proxies[name]
	if p == nil {
		f.t.Fatalf("no proxy of %q: set ProxyEndpoints or ProxyPlatform", name)
	}
	return &Link{t: f.t, proxies: []*proxy{p}}
}

func (f *Fleet) process(name string) *Process {
	f.t.Helper()
	for _, p := range f.Processes() {
		if p.Name == name {
			return p
		}
	}
	f.t.Fatalf("there is no process %q", name)
	return nil
}

func (f *Fleet) address(vm string) string {
	for _, v := range f.vms {
		if v.Name == vm {
			return v.Address
		}
	}
	return ""
}
