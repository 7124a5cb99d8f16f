package member

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

// exchangeTimeout is how long a peer may take to answer with its hello. One
// that is stopped, or cut off without a reset, keeps its connection open much
// longer; closing it shows the VM as unreachable until a new one succeeds.
const exchangeTimeout = 5 * time.Second

// Announce sends the own report to all connected entries, as when the agent
// begins to drain.
func (s *Service) Announce() {
	if s.cfg.Report == nil {
		return
	}
	report := s.cfg.Report()
	for _, conn := range s.Entries() {
		s.spawn(func() { _ = conn.Notify(wire.MethodReportNote, report) })
	}
}

func (s *Service) onReportNote(from *peer.Conn, report wire.AgentReport) {
	if report.Process != from.Peer().Process {
		return
	}
	s.handleReport(report)
}

// exchange asks a peer for its hello, which carries its head and report.
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
			s.cfg.Log.Warn().Str("event", logPeerSilent).Str("vm", vm).Msg("peer does not answer; connection closed")
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

// onVMNote takes in that a VM leaves and passes it on once.
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
