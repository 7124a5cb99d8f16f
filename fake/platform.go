package fake

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// PlatformSettings configure a Platform.
type PlatformSettings struct {
	// ConfigLimit is the rate limit of the configuration service in calls a
	// second; zero means DefaultConfigLimit.
	ConfigLimit int `arg:"--config-limit" yaml:"config_limit" help:"calls a second that the configuration service takes"`
	// VMLag is the delay after which changes show in the list of VMs.
	VMLag time.Duration `arg:"--vm-lag" yaml:"vm_lag" help:"delay of changes in the list of VMs"`
}

// PlatformCounts is the body of PathCounts at a Platform: the configuration
// service's own counts, and those of the list of VMs.
type PlatformCounts struct {
	CallCounts
	VMs CallCounts `json:"vms"`
}

// Platform serves the configuration service and the list of VMs on one address.
type Platform struct {
	host
	Config *Config
	VMs    *VMList
}

// NewPlatform returns a stopped Platform.
func NewPlatform(s PlatformSettings) *Platform {
	p := &Platform{Config: newConfig(s.ConfigLimit), VMs: newVMList(s.VMLag)}
	r := chi.NewRouter()
	p.Config.routes(r)
	p.VMs.routes(r)
	r.Get(PathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Counts()) })
	p.handler = r
	return p
}

// Start listens on addr, such as "127.0.0.1:0".
func (p *Platform) Start(addr string) error { return p.start(addr) }

// Counts returns the counts of calls to both services.
func (p *Platform) Counts() PlatformCounts {
	return PlatformCounts{CallCounts: p.Config.Counts(), VMs: p.VMs.Counts()}
}
