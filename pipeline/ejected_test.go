package pipeline

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
)

// Guards against calls that wait until their deadline on a VM that was stopped
// with its connections open: they get no error, so without hedging they ended
// with an unknown outcome. Once other calls show that the endpoint hangs and it
// is ejected, the waiting request is sent to another endpoint and gets its
// answer.
func TestEjectionMovesWaitingCalls(t *testing.T) {
	p := newPlayer(Config{})
	p.run(send(admit(minted, one)))
	p.eject("e2")
	assert.Equal(t, len(p.calls), 1, "ejected an endpoint that the call does not wait for")
	p.eject("e1")
	assert.Equal(t, len(p.calls), 2)
	assert.Equal(t, p.calls[1].Endpoint, "e2")
	p.eject("e1")
	assert.Equal(t, len(p.calls), 2, "it also waits for another endpoint")
	p.run(done(2))
	assert.Assert(t, all[Reply](p)[0].Answer != nil)
	assert.Equal(t, all[Revoke](p)[0].Endpoint, "e1")
}

func TestEjectionMovesOnlyWhatMayRunTwice(t *testing.T) {
	spent := admit(minted, one)
	spent.Bundle = &bundle.Bundle{Policy: bundle.Policy{MaxAttempts: 1}}
	late := admit(minted, bundle.Stage{Name: "one", Pool: "a", Typical: bundle.Duration(1000 * ms)})
	for name, a := range map[string]Admit{
		"unrepeatable": admit(minted, order), "attempts used": spent, "no time": late,
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlayer(Config{})
			p.run(send(a))
			p.eject("e1")
			assert.Equal(t, len(p.calls), 1)
		})
	}
}

// Guards against a broken stream when the endpoint of a streamed answer hangs
// after "The " and is ejected. The second attempt repeats that and continues.
// When the first attempt resumes with a different continuation, it must neither
// be mixed in nor end the stream.
func TestEjectionContinuesStream(t *testing.T) {
	a := admit(minted, one)
	a.Stream = true
	p := newPlayer(Config{})
	p.run(send(a), piece(1, 0, "The "))
	p.eject("e1")
	p.run(piece(2, 0, "The frame"), piece(1, 1, "lens"), done(1))
	assert.Equal(t, len(all[Reply](p)), 0)
	assert.Equal(t, all[Revoke](p)[0].Endpoint, "e1")
	p.run(piece(2, 1, " fits"), done(2))
	text := ""
	for _, c := range all[Chunk](p) {
		text += c.Text
	}
	assert.Equal(t, text, "The frame fits")
	assert.Assert(t, all[Reply](p)[0].Answer != nil)
}

func (p *driver) eject(endpoint string) {
	p.now = p.now.Add(ms)
	for _, e := range p.core.EndpointEjected(p.now, endpoint) {
		p.effects = append(p.effects, e)
		if c, ok := e.(Call); ok {
			p.calls = append(p.calls, c)
		}
	}
}
