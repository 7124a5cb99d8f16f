package harness

import (
	"encoding/json"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"

	"github.com/Shopify/toxiproxy/v2"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/wire"
)

const pathVMs = "/v1/vms"

// pair identifies the connections that the process on one VM dials to another VM.
type pair struct {
	from, to string
}

// views is an HTTP proxy to the platform that serves each VM under a separate
// path. In the VM list for a VM, each peer that it may dial has the address of a
// proxy that only this VM dials. Therefore the link between any two processes can
// be cut while both stay connected to all others.
type views struct {
	platform *url.URL
	server   *toxiproxy.ApiServer
	forward  *httputil.ReverseProxy

	mu sync.Mutex
	// roles holds the role of each VM's process, by VM name.
	roles   map[string]wire.Role
	proxies map[pair]*proxy
}

func newViews(platformURL string, server *toxiproxy.ApiServer) (*views, error) {
	base, err := url.Parse(platformURL)
	if err != nil {
		return nil, err
	}
	return &views{
		platform: base,
		server:   server,
		roles:    make(map[string]wire.Role),
		proxies:  make(map[pair]*proxy),
		forward: &httputil.ReverseProxy{
			Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(base) },
			// If the platform's reply breaks off, abort the client's connection too.
			ErrorHandler: func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) },
		},
	}, nil
}

// ServeHTTP implements http.Handler. The first path segment is the VM of the
// requesting process.
func (v *views) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	vm, rest, ok := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	if "/"+rest == pathVMs {
		v.serveVMs(w, r, vm)
		return
	}
	http.StripPrefix("/"+vm, v.forward).ServeHTTP(w, r)
}

// serveVMs answers with the platform's list of VMs, with the proxies' addresses.
func (v *views) serveVMs(w http.ResponseWriter, r *http.Request, vm string) {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, v.platform.String()+pathVMs, nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	var vms []confsvc.VM
	if err := json.NewDecoder(resp.Body).Decode(&vms); err != nil {
		panic(http.ErrAbortHandler)
	}
	for i := range vms {
		if vms[i].Name == vm || !v.mayDial(vm, vms[i].Name) {
			continue
		}
		p, err := v.proxy(pair{from: vm, to: vms[i].Name}, vms[i].Address)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		vms[i].Address = p.address
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(vms)
}

// mayDial reports whether the process on one VM may dial that on another. Agents
// dial only entries.
func (v *views) mayDial(from, to string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roles[from] != wire.RoleAgent || v.roles[to] == wire.RoleEntry
}

// proxy returns the proxy of a pair, creating it on first use.
func (v *views) proxy(p pair, address string) (*proxy, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if existing := v.proxies[p]; existing != nil {
		return existing, nil
	}
	existing, err := newProxy(v.server, p.from+" to "+p.to, address)
	if err != nil {
		return nil, err
	}
	v.proxies[p] = existing
	return existing, nil
}

func (v *views) close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.proxies {
		p.close()
	}
}
