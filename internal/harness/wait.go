package harness

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/entry"
	"github.com/mangostage/mangostage/wire"
)

const pollInterval = 10 * time.Millisecond

// Eventually polls until check returns nil. After timeout it returns the last
// error of check.
func Eventually(timeout time.Duration, check func() error) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-timer.C:
			return errorx.Decorate(err, "after %v", timeout)
		case <-ticker.C:
		}
	}
}

// Wait calls Eventually and fails the test if it returns an error.
func Wait(t testing.TB, timeout time.Duration, check func() error) {
	t.Helper()
	if err := Eventually(timeout, check); err != nil {
		t.Fatal(err)
	}
}

// unmarshalOK decodes the JSON body of a reply with status 200 into dest. It
// returns an error for any other reply.
func (r *Reply) unmarshalOK(dest any) error {
	if r.Err != nil {
		return r.Err
	}
	if r.Status != http.StatusOK {
		return errorx.ExternalError.New("status %d: %s", r.Status, r.Body)
	}
	return json.Unmarshal(r.Body, dest)
}

// WaitReady waits until all entries are ready and can use all endpoints, and all
// agents have run long enough to accept orders with new idempotency keys.
func (f *Fleet) WaitReady(timeout time.Duration) {
	f.t.Helper()
	Wait(f.t, timeout, func() error {
		for i := range f.entries {
			if err := f.checkReady(i); err != nil {
				return err
			}
		}
		return nil
	})
}

// WaitEntry waits for the conditions of WaitReady, but for one entry only.
func (f *Fleet) WaitEntry(i int, timeout time.Duration) {
	f.t.Helper()
	Wait(f.t, timeout, func() error { return f.checkReady(i) })
}

// checkReady returns nil if an entry is ready and can use all endpoints, and the
// agents have run long enough.
func (f *Fleet) checkReady(i int) error {
	e := f.entries[i]
	if !e.Running() {
		f.t.Fatalf("%s exited with code %d:\n%s", e.Name, e.currentRun().code, e.log.tail(maxFailureBytes))
	}
	ctx := f.t.Context()
	if reply := f.Get(ctx, i, "/readyz", ""); reply.Err != nil || reply.Status != http.StatusOK {
		return errorx.IllegalState.New("%s is not ready: status %d, %v", e.Name, reply.Status, reply.Err)
	}
	list, err := f.Status(ctx, i)
	if err != nil {
		return err
	}
	usable := 0
	for _, report := range list[0].Status.Peers {
		if !report.Down && !report.Draining {
			usable++
		}
	}
	if usable < len(f.endpoints) {
		return errorx.IllegalState.New("%s can use %d of %d endpoints", e.Name, usable, len(f.endpoints))
	}
	return f.checkUptime(list)
}

// checkUptime returns nil if each agent has run long enough to distinguish a new
// key from one that its predecessor may have run. That takes twice the maximum
// clock skew, because the clocks of the key's creator and the agent may differ in
// either direction.
func (f *Fleet) checkUptime(list []entry.ProcessStatus) error {
	minUptime := 2 * f.Bundle.Policy.MaxClockSkew.D()
	for _, p := range list {
		if p.Status == nil {
			return errorx.IllegalState.New("there is no status of %s: %s", p.Process, p.Missing)
		}
		if p.Status.Process.Role == wire.RoleAgent && p.Status.Uptime <= minUptime {
			return errorx.IllegalState.New("%s has not run long enough to accept new keys", p.Process)
		}
	}
	return nil
}

// CheckUnusable returns nil if an entry sees an endpoint as draining or down, or does
// not list it.
func (f *Fleet) CheckUnusable(entryIndex int, endpoint string) error {
	list, err := f.Status(f.t.Context(), entryIndex)
	if err != nil {
		return err
	}
	for _, report := range list[0].Status.Peers {
		if report.Endpoint == endpoint && !report.Down && !report.Draining {
			return errorx.IllegalState.New("endpoint %s still accepts work", endpoint)
		}
	}
	return nil
}

// CheckBundleVersion returns nil if every running process uses the given version of the
// bundle, according to the status that the first running entry collects.
func (f *Fleet) CheckBundleVersion(version uint64) error {
	var list []entry.ProcessStatus
	for i, e := range f.entries {
		if !e.Running() {
			continue
		}
		var err error
		if list, err = f.Status(f.t.Context(), i); err != nil {
			return err
		}
		break
	}
	versions := make(map[string]uint64)
	for _, p := range list {
		if p.Status != nil {
			versions[p.Process] = p.Status.Bundle.Version
		}
	}
	for _, p := range f.Processes() {
		if p.Running() && versions[p.Name] != version {
			return errorx.IllegalState.New("%s uses bundle version %d instead of %d", p.Name, versions[p.Name], version)
		}
	}
	return nil
}
