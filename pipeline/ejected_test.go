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
	d := newDriver(Config{})
	d.run(send(admit(minted, one)))
	d.eject("e2")
	assert.Equal(t, len(d.calls), 1, "ejected an endpoint that the call does not wait for")
	d.eject("e1")
	assert.Equal(t, len(d.calls), 2)
	assert.Equal(t, d.calls[1].Endpoint, "e2")
	d.eject("e1")
	assert.Equal(t, len(d.calls), 2, "it also waits for another endpoint")
	d.run(done(2))
	assert.Assert(t, all[Reply](d)[0].Answer != nil)
	assert.Equal(t, all[Revoke](d)[0].Endpoint, "e1")
}

func TestEjectionMovesOnlyWhatMayRunTwice(t *testing.T) {
	spent := admit(minted, one)
	spent.Bundle = &bundle.Bundle{Policy: bundle.Policy{MaxAttempts: 1}}
	late := admit(minted, bundle.Stage{Name: "one", Pool: "a", Typical: bundle.Duration(1000 * ms)})
	for name, a := range map[string]Admit{
		"unrepeatable": admit(minted, order), "attempts used": spent, "no time": late,
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(Config{})
			d.run(send(a))
			d.eject("e1")
			assert.Equal(t, len(d.calls), 1)
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
	d := newDriver(Config{})
	d.run(send(a), chunkFrom(1, 0, "The "))
	d.eject("e1")
	d.run(chunkFrom(2, 0, "The frame"), chunkFrom(1, 1, "lens"), done(1))
	assert.Equal(t, len(all[Reply](d)), 0)
	assert.Equal(t, all[Revoke](d)[0].Endpoint, "e1")
	d.run(chunkFrom(2, 1, " fits"), done(2))
	text := ""
	for _, c := range all[Chunk](d) {
		text += c.Text
	}
	assert.Equal(t, text, "The frame fits")
	assert.Assert(t, all[Reply](d)[0].Answer != nil)
}

func (d *driver) eject(endpoint string) {
	d.now = d.now.Add(ms)
	for _, e := range d.core.EndpointEjected(d.now, endpoint) {
		d.effects = append(d.effects, e)
		if c, ok := e.(Call); ok {
			d.calls = append(d.calls, c)
		}
	}
}
