package member

import (
	"time"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/kernel"
	"github.com/mangostage/mangostage/wire"
)

const (
	// leavingHoldTime is how long every list must show a leaving VM as live before
	// it counts as live again. The list has no revision, so a stale copy that
	// still shows the VM as live can't be told from a newer one. One case remains:
	// if the lists are stale for longer than this, the VM counts as live again
	// unless its own process reports that it is draining.
	leavingHoldTime = 2 * time.Minute
	// absentRetention is how long a VM that is neither listed nor connected is kept
	// and dialled. A stale list may be older than the VM.
	absentRetention = 30 * time.Second
)

// viewCore builds views from lists of VMs, connections and reports. It does no I/O
// and is not safe for concurrent use.
type viewCore struct {
	// self is the name of this process's VM.
	self string
	// members has the known VMs by name.
	members map[string]*memberState
	// byProcess has the same VMs by the process that is connected or was last.
	byProcess map[wire.Process]*memberState
	// listedAt is as View.ListedAt.
	listedAt time.Time
	// ignoredClaims has the claims that the last view ignored.
	ignoredClaims map[Claim]bool
}

// memberState is the state of one VM.
type memberState struct {
	vm     confsvc.VM
	listed bool
	// missingSince is when the VM was found to be neither listed nor connected;
	// zero while it is listed or connected.
	missingSince time.Time
	// leaving means that the VM is leaving. It is sticky: lists that show the VM as
	// live reset it only after leavingHoldTime, or if the VM was replaced.
	leaving       bool
	leavingReason string
	// leavingIncarnation is the incarnation of the VM's process that was known when
	// the VM started leaving; empty if none was.
	leavingIncarnation string
	// liveSince is when the first of an unbroken series of lists showed the leaving
	// VM as live; zero if the last one did not.
	liveSince time.Time

	connected bool
	// dialFailed means that a dial has failed since the VM was last connected or
	// changed its address.
	dialFailed bool
	process    wire.Process
	report     wire.AgentReport
	reportedAt time.Time

	// publishedState is the state of the last event about the VM; empty before the first.
	publishedState State
}

func newViewCore(self string) *viewCore {
	return &viewCore{
		self:          self,
		members:       make(map[string]*memberState),
		byProcess:     make(map[wire.Process]*memberState),
		ignoredClaims: make(map[Claim]bool),
	}
}

// member returns the state of a VM, which it adds if it is not known.
func (c *viewCore) member(name string) *memberState {
	m, ok := c.members[name]
	if !ok {
		m = &memberState{vm: confsvc.VM{Name: name, State: confsvc.VMLive}}
		c.members[name] = m
	}
	return m
}

// applyList applies a list of VMs that was read at now. It returns a notification
// for each VM that has started leaving.
func (c *viewCore) applyList(now time.Time, vms []confsvc.VM) []wire.VMNote {
	c.listedAt = now
	var notes []wire.VMNote
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Name == "" || seen[vm.Name] {
			continue
		}
		seen[vm.Name] = true
		if c.applyListEntry(now, vm) {
			notes = append(notes, wire.VMNote{VM: vm.Name, Process: c.members[vm.Name].process})
		}
	}
	for name, m := range c.members {
		if !seen[name] {
			c.markAbsent(now, name, m)
		}
	}
	return notes
}

// applyListEntry applies one entry of the list and reports whether the VM has
// started leaving.
func (c *viewCore) applyListEntry(now time.Time, vm confsvc.VM) bool {
	m := c.member(vm.Name)
	if m.vm.Address != vm.Address {
		m.dialFailed = false
	}
	m.vm = vm
	m.listed = true
	m.missingSince = time.Time{}
	if vm.State == confsvc.VMLeaving {
		return m.markLeaving("listed as leaving")
	}
	if m.leaving && m.liveSince.IsZero() {
		m.liveSince = now
	}
	if m.leaving && (m.replaced() || now.Sub(m.liveSince) >= leavingHoldTime) {
		m.clearLeaving()
	}
	return false
}

// replaced reports whether a leaving VM has been replaced by one of the same name:
// another incarnation of its process is connected, and the list shows the VM as
// live.
func (m *memberState) replaced() bool {
	otherIncarnation := m.leavingIncarnation != "" && m.leavingIncarnation != m.process.Incarnation
	return m.connected && otherIncarnation && m.listed && m.vm.State == confsvc.VMLive
}

// clearLeaving makes a leaving VM count as live again.
func (m *memberState) clearLeaving() {
	m.leaving = false
	m.liveSince = time.Time{}
}

// markLeaving marks a VM as leaving and reports whether it was not leaving before.
func (m *memberState) markLeaving(reason string) bool {
	changed := !m.leaving
	if changed {
		m.leavingReason = reason
		m.leavingIncarnation = m.process.Incarnation
	}
	m.leaving = true
	m.liveSince = time.Time{}
	return changed
}

// applyNote applies a peer's notification that a VM is leaving, and reports whether
// the VM was not leaving before. A notification about another incarnation than the
// one known here is about an earlier VM of the same name and is ignored.
func (c *viewCore) applyNote(note *wire.VMNote) bool {
	m, ok := c.members[note.VM]
	if !ok {
		return false
	}
	bothKnown := m.process.Incarnation != "" && note.Process.Incarnation != ""
	if bothKnown && m.process.Incarnation != note.Process.Incarnation {
		return false
	}
	return m.markLeaving("a peer read it as leaving")
}

// markAbsent applies the absence of a VM from a list, and removes the VM once it has
// been neither listed nor connected for absentRetention.
func (c *viewCore) markAbsent(now time.Time, name string, m *memberState) {
	m.listed = false
	m.liveSince = time.Time{}
	if m.connected {
		return
	}
	if m.missingSince.IsZero() {
		m.missingSince = now
	}
	if now.Sub(m.missingSince) >= absentRetention {
		delete(c.members, name)
		delete(c.byProcess, m.process)
	}
}

// connect marks a VM as connected to the process described by hello. For a VM that
// is not listed it also takes the VM's attributes from hello.
func (c *viewCore) connect(now time.Time, vm string, hello *wire.Hello) {
	m := c.member(vm)
	m.connected = true
	m.dialFailed = false
	m.missingSince = time.Time{}
	if m.process != hello.Process {
		delete(c.byProcess, m.process)
		c.byProcess[hello.Process] = m
		m.process = hello.Process
		m.report = wire.AgentReport{}
		m.reportedAt = time.Time{}
	}
	if m.leaving && m.replaced() {
		m.clearLeaving()
	}
	if !m.listed {
		m.vm.Role = hello.Process.Role
		m.vm.Domain = hello.Process.Domain
		m.vm.Endpoint = hello.Report.Endpoint
		m.vm.Pool = hello.Report.Pool
	}
	if hello.Process.Role == wire.RoleAgent {
		c.applyReport(now, m, hello.Report)
	}
}

// disconnect marks a VM as not connected, unless it is known with another process.
func (c *viewCore) disconnect(now time.Time, vm string, process wire.Process) {
	m, ok := c.members[vm]
	if !ok || m.process != process {
		return
	}
	m.connected = false
	if !m.listed {
		m.missingSince = now
	}
}

// markDialFailed records that the last dial of a VM failed.
func (c *viewCore) markDialFailed(vm string) {
	if m, ok := c.members[vm]; ok && !m.connected {
		m.dialFailed = true
	}
}

// observe applies an agent's report and reports whether its draining state has
// changed, which may change the VM's state.
func (c *viewCore) observe(now time.Time, report *wire.AgentReport) bool {
	m, ok := c.byProcess[report.Process]
	if !ok {
		return false
	}
	draining := m.report.Draining
	c.applyReport(now, m, *report)
	return m.report.Draining != draining
}

// applyReport stores a report unless it is from another process or has a lower
// sequence number than the stored one.
func (c *viewCore) applyReport(now time.Time, m *memberState, report wire.AgentReport) {
	if report.Process != m.process {
		return
	}
	if !m.reportedAt.IsZero() && report.Seq < m.report.Seq {
		return
	}
	m.report = report
	m.reportedAt = now
}

// resetFreshness discards the times of lists after a pause of the process: ListedAt
// becomes zero, and leavingHoldTime starts anew for every leaving VM.
func (c *viewCore) resetFreshness() {
	c.listedAt = time.Time{}
	for _, m := range c.members {
		m.liveSince = time.Time{}
	}
}

// state returns the state of the VM and the reason for it.
func (m *memberState) state() (State, string) {
	switch {
	case m.report.Draining:
		return StateLeaving, "its agent drains"
	case m.leaving:
		return StateLeaving, m.leavingReason
	case !m.connected && m.dialFailed:
		return StateUnreachable, "cannot connect"
	case m.connected && !m.listed:
		return StateLive, "connected but not listed"
	case !m.listed:
		return StateUnreachable, "neither listed nor connected"
	case m.connected:
		return StateLive, "listed and connected"
	default:
		return StateLive, "listed"
	}
}

// view returns the current view, an event for each VM whose state has changed since
// the last call, and the claims to endpoints that are ignored but were not in the
// last view.
func (c *viewCore) view(now time.Time) (*View, []kernel.MemberEvent, []Claim) {
	var events []kernel.MemberEvent
	members := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		state, reason := m.state()
		if state != m.publishedState {
			m.publishedState = state
			events = append(events, memberEvent(&m.vm, state, reason))
		}
		members = append(members, Member{
			VM: m.vm, State: state, Reason: reason, Listed: m.listed, Connected: m.connected,
			Process: m.process, Report: m.report, ReportedAt: m.reportedAt,
		})
	}
	v, ignored := newView(now, c.listedAt, members)
	return v, events, c.newlyIgnored(ignored)
}

// newlyIgnored returns the claims that the last view did not ignore.
func (c *viewCore) newlyIgnored(ignored []Claim) []Claim {
	known := c.ignoredClaims
	c.ignoredClaims = make(map[Claim]bool, len(ignored))
	var fresh []Claim
	for _, claim := range ignored {
		c.ignoredClaims[claim] = true
		if !known[claim] {
			fresh = append(fresh, claim)
		}
	}
	return fresh
}

func memberEvent(vm *confsvc.VM, state State, reason string) kernel.MemberEvent {
	return kernel.MemberEvent{VM: vm.Name, Endpoint: vm.Endpoint, Pool: vm.Pool, State: string(state), Reason: reason}
}

// selfLeaving reports whether this process's VM is leaving according to the list of
// VMs or a peer's notification.
func (c *viewCore) selfLeaving() bool {
	m, ok := c.members[c.self]
	return ok && m.leaving
}
