package clients

import (
	"encoding/binary"
	"errors"
	"strings"
	"testing"

	"github.com/mangostage/mangostage/examples"
	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/wire"
)

// serviceMemoryLimit is the memory in bytes of an entry or an agent, which is what the size to
// design for allows for control on a node.
const serviceMemoryLimit = 128 << 20

// playHeads sends heads far over the limit, by turns in one line, in short lines and in lines with
// different names.
func playHeads(c *client, i int) {
	if !c.send("GET /readyz HTTP/1.1\r\nHost: shop.example\r\n") {
		return
	}
	switch i % 3 {
	case 0:
		c.send("X-A: ")
		c.sendUpTo(headBytes, filler)
	case 1:
		c.sendUpTo(headBytes, strings.Repeat("a: b\r\n", fillerBytes/6))
	case 2:
		c.sendDifferentLines()
		c.send("\r\n")
	}
}

// Guards against heads over the limit at the address at which the platform asks for readiness.
func TestHeadsAtTheReadyAddress(t *testing.T) {
	r := newRig(t)
	r.runAgainst(&crowd{addr: r.ready, size: crowdSize(), play: playHeads})
	r.mustBeReady()
}

// Guards against heads over the limit at the address of the metrics.
func TestHeadsAtTheMetricsAddress(t *testing.T) {
	r := newRig(t)
	r.runAgainst(&crowd{addr: r.metrics, size: crowdSize(), play: playHeads})
	r.mustBeReady()
}

// Guards against connections at the ready address beyond the descriptors, by which the platform
// finds the process not ready.
func TestSilentConnectionsAtTheReadyAddress(t *testing.T) {
	r := newRig(t)
	release := startCrowd(t, &crowd{addr: r.ready, size: manyConns(), play: func(*client, int) {}})
	r.usage.awaitRest()
	r.mustBeReady()
	r.mustServeOrdinary()
	release()
	r.check()
}

// mustBeReady waits until the process answers that it is ready.
func (r *rig) mustBeReady() {
	r.t.Helper()
	mustAnswerReady(r.t, r.ready)
}

var errNotReady = errors.New("not ready")

// mustAnswerReady waits until a readiness address answers that the process is ready.
func mustAnswerReady(t *testing.T, addr string) {
	t.Helper()
	harness.Wait(t, serveTimeout, func() error {
		if harness.IsReady(addr) {
			return nil
		}
		return errNotReady
	})
}

// messageOf returns the length of a message between processes, as it stands before one.
func messageOf(length uint64) string { return string(binary.AppendUvarint(nil, length)) }

// playMessages announces long messages between processes and stops just short of their end.
func playMessages(c *client, i int) {
	const left = 1 << 10
	switch i % 3 {
	case 0:
		c.send(messageOf(wire.MaxMessage))
		c.sendUpTo(wire.MaxMessage-left, filler)
	case 1:
		method := wire.MethodHello
		c.send(messageOf(wire.MaxMessage+1) + messageOf(uint64(len(method))) + method + messageOf(wire.MaxMessage))
		c.sendUpTo(wire.MaxMessage-left, filler)
	case 2:
		c.send(messageOf(wire.MaxMessage))
	}
}

// Guards against long messages from strangers at the address for peers.
func TestMessagesAtThePeerAddress(t *testing.T) {
	r := newRig(t)
	r.runAgainst(&crowd{addr: r.peer, size: crowdSize(), play: playMessages, again: true})
}

// Guards against calls from strangers at the address for peers whose replies are not read.
func TestCallsAtThePeerAddress(t *testing.T) {
	r := newRig(t)
	call := `{"jsonrpc":"2.0","id":1,"method":"` + strings.Repeat("m", 1000) + `","params":{}}`
	r.runAgainst(&crowd{addr: r.peer, size: crowdSize(), again: true, play: func(c *client, _ int) {
		c.forever(strings.Repeat(messageOf(uint64(len(call)))+call, fillerBytes/len(call)))
	}})
}

// Guards against connections at the address for peers beyond the descriptors.
func TestSilentConnectionsAtThePeerAddress(t *testing.T) {
	r := newRig(t)
	r.runAgainst(&crowd{addr: r.peer, size: manyConns(), play: func(*client, int) {}})
}

// startService starts an entry and an agent of the project's own interface, and returns their
// processes and addresses.
func startService(t *testing.T) (entry, agent *harness.Process, entryAddr, entryPeer, agentPeer string) {
	t.Helper()
	f := harness.Start(t, harness.Config{Entries: 1, NoRace: true, Pools: map[string]int{"catalogue": 1, "workshop-orders": 1, "billing": 1}})
	e := f.Entry(0)
	agent = f.Agent(f.Endpoints()[0].Name)
	return e.Process, agent, strings.TrimPrefix(e.URL, "http://"), f.VMAddress(e.VM), f.VMAddress(agent.VM)
}

// runAgainstService plays a crowd at a process of the project's own interface, which lives on
// within its memory.
func runAgainstService(t *testing.T, p *harness.Process, listens []string, c *crowd) {
	t.Helper()
	u := watchUsage(t, p, listens, nil)
	u.memory = serviceMemoryLimit
	release := startCrowd(t, c)
	if !c.again {
		u.awaitRest()
	}
	release()
	if !p.Running() {
		t.Errorf("the process has ended")
	}
	u.checkMemory()
}

// Guards against heads over the limit at the entry of the project's own interface.
func TestHeadsAtTheEntry(t *testing.T) {
	entry, _, addr, _, _ := startService(t)
	runAgainstService(t, entry, []string{addr}, &crowd{addr: addr, size: crowdSize(), play: playHeads})
	mustAnswerReady(t, addr)
}

// Guards against bodies of the whole limit at an entry, many at once, that stop short and stay.
func TestBodiesAtTheEntry(t *testing.T) {
	entry, _, addr, _, _ := startService(t)
	const bodies, entryBodyLimit, left = 160, 1 << 20, 1 << 10
	head := "POST /v1/pipelines/frame-order/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
		examples.CredentialPrefix + "partner-chain-ostschweiz\r\nTransfer-Encoding: chunked\r\n\r\n"
	runAgainstService(t, entry, []string{addr}, &crowd{addr: addr, size: bodies, play: func(c *client, _ int) {
		if c.send(head) {
			c.sendUpTo(entryBodyLimit-left, chunkOf(filler))
		}
	}})
	mustAnswerReady(t, addr)
}

// Guards against long messages from strangers at the address for peers of an entry.
func TestMessagesAtTheEntrysPeerAddress(t *testing.T) {
	entry, _, addr, peer, _ := startService(t)
	runAgainstService(t, entry, []string{addr, peer}, &crowd{addr: peer, size: crowdSize(), play: playMessages, again: true})
	mustAnswerReady(t, addr)
}

// Guards against long messages from strangers at the address for peers of an agent.
func TestMessagesAtTheAgentsPeerAddress(t *testing.T) {
	_, agent, addr, _, peer := startService(t)
	runAgainstService(t, agent, []string{peer}, &crowd{addr: peer, size: crowdSize(), play: playMessages, again: true})
	mustAnswerReady(t, addr)
}
