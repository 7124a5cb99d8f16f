package harness

// Link returns the link between two processes, for connections dialled by either
// of them. It requires Config.ProxyPeers. Processes are named as in Process.Name.
func (f *Fleet) Link(a, b string) *Link {
	f.t.Helper()
	l := &Link{t: f.t}
	from, to := f.processNamed(a).VM, f.processNamed(b).VM
	for _, p := range []pair{{from: from, to: to}, {from: to, to: from}} {
		if !f.cfg.ProxyPeers {
			f.t.Fatalf("there are no proxies between processes: set ProxyPeers")
		}
		if !f.views.mayDial(p.from, p.to) {
			continue
		}
		peerProxy, err := f.views.proxy(p, f.VMAddress(p.to))
		f.must(err)
		l.proxies = append(l.proxies, peerProxy)
	}
	return l
}

// Links returns one Link for the links between a process and all others, except
// those named.
func (f *Fleet) Links(process string, except ...string) *Link {
	f.t.Helper()
	var others []string
	for _, p := range f.Processes() {
		others = append(others, p.Name)
	}
	return f.Between([]string{process}, others, except...)
}

// Between returns one Link for the links between each process of group and each
// of others, except those named. Cutting it partitions the fleet.
func (f *Fleet) Between(group, others []string, except ...string) *Link {
	f.t.Helper()
	excluded := make(map[string]bool)
	for _, name := range append(except, group...) {
		excluded[name] = true
	}
	l := &Link{t: f.t}
	for _, a := range group {
		for _, b := range others {
			if !excluded[b] && f.mayConnect(a, b) {
				l.proxies = append(l.proxies, f.Link(a, b).proxies...)
			}
		}
	}
	return l
}

// mayConnect reports whether two processes may connect to each other. Two agents
// never do.
func (f *Fleet) mayConnect(a, b string) bool { return f.agents[a] == nil || f.agents[b] == nil }

// EndpointLink returns the link between an agent and its endpoint. It requires
// Config.ProxyEndpoints.
func (f *Fleet) EndpointLink(endpoint string) *Link {
	f.t.Helper()
	return f.singleLink(f.endpointProxies, endpoint)
}

// PlatformLink returns the link between a process and the platform. It requires
// Config.ProxyPlatform.
func (f *Fleet) PlatformLink(process string) *Link {
	f.t.Helper()
	return f.singleLink(f.platformProxies, process)
}

// singleLink returns the link over the proxy with the given name.
func (f *Fleet) singleLink(proxies map[string]*proxy, name string) *Link {
	f.t.Helper()
	p := proxies[name]
	if p == nil {
		f.t.Fatalf("there is no proxy for %q: set ProxyEndpoints or ProxyPlatform", name)
	}
	return &Link{t: f.t, proxies: []*proxy{p}}
}

func (f *Fleet) processNamed(name string) *Process {
	f.t.Helper()
	for _, p := range f.Processes() {
		if p.Name == name {
			return p
		}
	}
	f.t.Fatalf("there is no process %q", name)
	return nil
}

// VMAddress returns the peer address of a VM, or "" if there is no such VM.
func (f *Fleet) VMAddress(vm string) string {
	for _, v := range f.vms {
		if v.Name == vm {
			return v.Address
		}
	}
	return ""
}
