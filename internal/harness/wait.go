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

const pollDelay = 10 * time.Millisecond

// Eventually polls until check returns nil, and returns its last error after timeout.
func Eventually(timeout time.Duration, check func() error) error {
	limit := time.NewTimer(timeout)
	defer limit.Stop()
	ticker := time.NewTicker(pollDelay)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-limit.C:
			return errorx.Decorate(err, "after %v", timeout)
		case <-ticker.C:
		}
	}
}

// Wait is Eventually that fails the test.
func Wait(t testing.TB, timeout time.Duration, check func() error) {
	t.Helper()
	if err := Eventually(timeout, check); err != nil {
		t.Fatal(err)
	}
}

// into decodes the body of a good reply.
func (r *Reply) into(dest any) error {
	if r.Err != nil {
		return r.Err
	}
	if r.Status != http.StatusOK {
		return errorx.ExternalError.New("status %d: %s", r.Status, r.Body)
	}
	return json.Unmarshal(r.Body, dest)
}

// WaitReady waits until all entries are ready and know all endpoints, and the
// agents would run an order whose key is made from now on.
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

// WaitEntry waits until one entry is ready and knows all endpoints.
func (f *Fleet) WaitEntry(i int, timeout time.Duration) {
	f.t.Helper()
	Wait(f.t, timeout, func() error { return f.checkReady(i) })
}

func (f *Fleet) checkReady(i int) error {
	e := f.entries[i]
	if !e.Running() {
		f.t.Fatalf("%s ended with code %d:\n%s", e.Name, e.current().code, e.log.tail(shownAlarm))
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
		return errorx.IllegalState.New("%s knows %d of %d endpoints", e.Name, usable, len(f.endpoints))
	}
	return f.checkOld(list)
}

// checkOld tells whether each agent is old enough to tell a new key from one
// that its predecessor ran: two clocks may differ either way.
func (f *Fleet) checkOld(list []entry.ProcessStatus) error {
	oldEnough := 2 * f.Bundle.Policy.MaxClockSkew.D()
	for _, p := range list {
		if p.Status == nil {
			return errorx.IllegalState.New("%s gives no status: %s", p.Process, p.Missing)
		}
		if p.Status.Process.Role == wire.RoleAgent && p.Status.Uptime <= oldEnough {
			return errorx.IllegalState.New("%s has just started", p.Process)
		}
	}
	return nil
}

// Unusable returns nil if an entry sees an endpoint draining, down or gone.
func (f *Fleet) Unusable(entryIndex int, endpoint string) error {
	list, err := f.Status(f.t.Context(), entryIndex)
	if err != nil {
		return err
	}
	for _, report := range list[0].Status.Peers {
		if report.Endpoint == endpoint && !report.Down && !report.Draining {
			return errorx.IllegalState.New("%s still takes work", endpoint)
		}
	}
	return nil
}

// InForce returns nil if every running process has the bundle's version in
// force, as told through the first running entry.
func (f *Fleet) InForce(version uint64) error {
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
	seen := make(map[string]uint64)
	for _, p := range list {
		if p.Status != nil {
			seen[p.Process] = p.Status.Bundle.Version
		}
	}
	for _, p := range f.Processes() {
		if p.Running() && seen[p.Name] != version {
			return errorx.IllegalState.New("%s has version %d, not %d", p.Name, seen[p.Name], version)
		}
	}
	return nil
}
