package member

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

// exchangeTimeout is how long a peer may take to reply to a hello. A peer that is
// stopped, or partitioned without a TCP reset, would otherwise keep its connection
// open for much longer. Once the connection is closed, the VM shows as unreachable
// until a new connection succeeds.
const exchangeTimeout = 5 * time.Second

// Announce sends this agent's report to all connected entries, for example when
// the agent starts to drain. It does nothing if Config.Report is nil.
func (s *Service) Announce() {
	if s.cfg.Report == nil {
		return
	}
	report := s.cfg.Report()
	for _, conn := range s.Entries() {
		s.spawn(func() { _ = conn.Notify(wire.MethodReportNote, report) })
	}
}

// onReportNote handles an agent's notification of its own report.
func (s *Service) onReportNote(from *peer.Conn, report wire.AgentReport) {
	if report.Process != from.Peer().Process {
		return
	}
	s.handleReport(report)
}

// exchange exchanges hellos with a peer, which carry the bundle head and the
// report of each side. It closes the connection if the peer does not reply within
// exchangeTimeout.
func (s *Service) exchange(vm string) {
	l := s.links.get(vm)
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, exchangeTimeout)
	defer cancel()
	var theirs wire.Hello
	if err := l.conn.Call(ctx, wire.MethodHello, s.hello(), &theirs); err != nil {
		if s.ctx.Err() == nil && ctx.Err() != nil {
			s.cfg.Log.Warn().Str("event", logPeerSilent).Str("vm", vm).Msg("peer did not reply to a hello in time; connection closed")
			l.conn.Close()
		}
		return
	}
	if theirs.Process != l.process {
		return
	}
	s.updateGossip(func(c *gossipCore) gossipEffects { return c.headReceived(s.cfg.Now(), vm, theirs.Bundle) })
	if theirs.Process.Role == wire.RoleAgent {
		s.handleReport(theirs.Report)
	}
}

func (s *Service) handleReport(report wire.AgentReport) {
	s.Observe(report)
	if s.cfg.OnReport != nil {
		s.cfg.OnReport(report)
	}
}

// onVMNote applies a notification that a VM is leaving, and forwards it if the VM
// was not known to be leaving.
func (s *Service) onVMNote(_ *peer.Conn, note wire.VMNote) {
	s.coreMu.Lock()
	changed := s.views.applyNote(&note)
	s.coreMu.Unlock()
	if !changed {
		return
	}
	s.markDirty()
	s.sendVMNotes([]wire.VMNote{note})
}

// sendVMNotes notifies peers of VMs that are leaving.
func (s *Service) sendVMNotes(notes []wire.VMNote) {
	for _, note := range notes {
		s.gossipMu.Lock()
		targets := s.gossip.noteTargets(note.VM)
		s.gossipMu.Unlock()
		for _, vm := range targets {
			if l := s.links.get(vm); l != nil {
				s.spawn(func() { _ = l.conn.Notify(wire.MethodVMNote, note) })
			}
		}
	}
}
