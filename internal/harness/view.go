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

// pair names who dials whom, by VM.
type pair struct {
	from, to string
}

// views serves the platform to each process under a path of its own, and
// there lists each peer at the address of a proxy that only this process
// dials. So any two processes can be parted while both keep serving others.
type views struct {
	platform *url.URL
	server   *toxiproxy.ApiServer
	forward  *httputil.ReverseProxy

	mu      sync.Mutex
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
			// A cut reply is passed on as a cut.
			ErrorHandler: func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) },
		},
	}, nil
}

// ServeHTTP implements http.Handler; the path begins with the VM that asks.
func (v *views) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	vm, rest, ok := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	if "/"+rest == pathVMs {
		v.list(w, r, vm)
		return
	}
	http.StripPrefix("/"+vm, v.forward).ServeHTTP(w, r)
}

func (v *views) list(w http.ResponseWriter, r *http.Request, vm string) {
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
		if vms[i].Name == vm || !v.dials(vm, vms[i].Name) {
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

// dials tells whether one VM's process may dial another's; agents dial entries only.
func (v *views) dials(from, to string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roles[from] != wire.RoleAgent || v.roles[to] == wire.RoleEntry
}

// proxy returns the proxy of a pair and makes it if need be.
func (v *views) proxy(p pair, address string) (*proxy, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if made := v.proxies[p]; made != nil {
		return made, nil
	}
	made, err := newProxy(v.server, p.from+" to "+p.to, address)
	if err != nil {
		return nil, err
	}
	v.proxies[p] = made
	return made, nil
}

func (v *views) close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.proxies {
		p.close()
	}
}
