package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/mangostage/mangostage/confsvc"
)

const remoteTimeout = 5 * time.Second

// ErrRemote is returned when a control request fails or is refused by the
// stand-in.
var ErrRemote = errs.NewType("remote")

// remoteClient reuses no connection: a crash of the stand-in may have closed an
// idle one.
var remoteClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Remote controls a stand-in over HTTP; it may run in another process.
type Remote struct {
	URL string
}

// Apply changes the injected faults of an endpoint's stand-in.
func (r Remote) Apply(ctx context.Context, c Control) error {
	return r.send(ctx, http.MethodPost, PathControl, c)
}

// Counts returns the counts of an endpoint's stand-in.
func (r Remote) Counts(ctx context.Context) (Counts, error) {
	var c Counts
	err := r.do(ctx, http.MethodGet, PathCounts, nil, &c)
	return c, err
}

// PlatformCounts returns the counts of a Platform.
func (r Remote) PlatformCounts(ctx context.Context) (PlatformCounts, error) {
	var c PlatformCounts
	err := r.do(ctx, http.MethodGet, PathCounts, nil, &c)
	return c, err
}

// ApplyConfig changes the injected faults of a Platform's configuration service.
func (r Remote) ApplyConfig(ctx context.Context, c ConfigControl) error {
	return r.send(ctx, http.MethodPost, "/control/config", c)
}

// ApplyVMs changes the injected faults of a Platform's list of VMs.
func (r Remote) ApplyVMs(ctx context.Context, c VMControl) error {
	return r.send(ctx, http.MethodPost, "/control/vms", c)
}

// SetVMs replaces a Platform's list of VMs.
func (r Remote) SetVMs(ctx context.Context, vms []confsvc.VM) error {
	return r.send(ctx, http.MethodPut, "/control/vms", vms)
}

// Publish stores a value in a Platform and returns its revision.
func (r Remote) Publish(ctx context.Context, name string, data []byte) (uint64, error) {
	var v confsvc.Value
	err := r.do(ctx, http.MethodPut, "/control/values/"+url.PathEscape(name), data, &v)
	return v.Revision, err
}

func (r Remote) send(ctx context.Context, method, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return r.do(ctx, method, path, body, nil)
}

func (r Remote) do(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, r.URL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := remoteClient.Do(req)
	if err != nil {
		return ErrRemote.Wrap(err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(resp.Body)
	if err != nil {
		return ErrRemote.Wrap(err, "%s %s", method, path)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return ErrRemote.New("%s %s: status %d: %s", method, path, resp.StatusCode, reply)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(reply, into)
}
