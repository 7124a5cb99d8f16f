package member

import (
	"time"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/kernel"
	"github.com/mangostage/mangostage/wire"
)

const (
	// leavingHold is how long the list must say live, without a break, before
	// a VM that was leaving counts as live again. The list carries no
	// revision, so an old copy that still says live looks like a newer one.
	// What remains: a list that stays older than the leaving for longer than
	// this brings the VM back, unless its own process says that it drains.
	leavingHoldTime = 2 * time.Minute
	// absentHold is how long a VM is kept, and dialled, that is neither listed
	// nor connected. A stale list may predate the VM.
	absentRetention = 30 * time.Second
)

// viewCore makes a View of lists, connections and reports. It does no I/O;
// its caller serialises the calls.
type viewCore struct {
	self          string
	members       map[string]*memberState
	byProcess     map[wire.Process]*memberState
	listedAt      time.Time
	ignoredClaims map[Claim]bool
}

// memberState is what is known of one VM.
type memberState struct {
	vm     confsvc.VM
	listed bool
	// goneAt is when the VM was last listed or connected, while it is neither.
	missingSince time.Time
	// leaving is sticky; liveSince is the start of the unbroken run of lists
	// that say live after it.
	leaving       bool
	leavingReason string
	// leavingRun is the incarnation that was known when the VM began to leave;
	// empty if none was.
	leavingIncarnation string
	liveSince          time.Time

	connected  bool
	dialFailed bool
	process    wire.Process
	report     wire.AgentReport
	reportedAt time.Time

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

func (c *viewCore) member(name string) *memberState {
	m, ok := c.members[name]
	if !ok {
		m = &memberState{vm: confsvc.VM{Name: name, State: confsvc.VMLive}}
		c.members[name] = m
	}
	return m
}

// list takes in a list that was read at now and returns the VMs that it newly
// shows as leaving.
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

// listOne takes in one line and tells whether the VM newly leaves.
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

// replaced tells whether a VM that was leaving has been replaced by one of the
// same name: another run of its process is connected, and the list says live.
func (m *memberState) replaced() bool {
	otherRun := m.leavingIncarnation != "" && m.leavingIncarnation != m.process.Incarnation
	return m.connected && otherRun && m.listed && m.vm.State == confsvc.VMLive
}

func (m *memberState) clearLeaving() {
	m.leaving = false
	m.liveSince = time.Time{}
}

// leave marks a VM as leaving and tells whether it was not before.
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

// noted takes in a peer's note and tells whether it was news. A note about
// another incarnation than the one known here is about a VM that had this name
// before.
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

// connect takes in a connection that passed the hello.
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

// disconnect takes in the end of the connection to a process.
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

// dialFailure marks a VM that could not be connected to.
func (c *viewCore) markDialFailed(vm string) {
	if m, ok := c.members[vm]; ok && !m.connected {
		m.dialFailed = true
	}
}

// observe takes in a report and tells whether the view changed in more than load.
func (c *viewCore) observe(now time.Time, report *wire.AgentReport) bool {
	m, ok := c.byProcess[report.Process]
	if !ok {
		return false
	}
	draining := m.report.Draining
	c.applyReport(now, m, *report)
	return m.report.Draining != draining
}

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

// wake forgets how fresh the list is; the process was paused.
func (c *viewCore) resetFreshness() {
	c.listedAt = time.Time{}
	for _, m := range c.members {
		m.liveSince = time.Time{}
	}
}

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

// view returns the present view, the VMs whose state changed since the last
// call, and the claims on endpoints that are newly ignored.
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

// selfLeaving tells whether the own VM is listed as leaving.
func (c *viewCore) selfLeaving() bool {
	m, ok := c.members[c.self]
	return ok && m.leaving
}
