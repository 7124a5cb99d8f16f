package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against content that is refused for long in the calm after endpoints were lost
// together: all of a service, or some beside others that did not run it.
func TestLossOfManyEndpointsHasAnEarlyTrial(t *testing.T) {
	tests := map[string]func(*Table) time.Time{
		"all of the service": func(c *Table) time.Time {
			c.SetView(epoch, viewOf(endpointNamed("0"), endpointNamed("1"), endpointNamed("2"), endpointNamed("3")))
			for i := range 4 {
				crash(c, epoch, 1, fmt.Sprint(i))
			}
			return epoch
		},
		"others without the content": func(c *Table) time.Time {
			for i := range 6 {
				crash(c, epoch, 1, fmt.Sprint(i))
			}
			crash(c, epoch.Add(time.Millisecond), 2, "10")
			return epoch
		},
		"others in series": func(c *Table) time.Time {
			now := epoch
			for i := range 6 {
				now = now.Add(400 * time.Millisecond)
				crash(c, now, 1, fmt.Sprint(2*i))
				crash(c, now.Add(200*time.Millisecond), 2, fmt.Sprint(2*i+1))
			}
			return now
		},
		"idle endpoints beside it": func(c *Table) time.Time {
			for i := range 6 {
				crash(c, epoch, 1, fmt.Sprint(i))
			}
			c.SetView(epoch.Add(2*time.Second), viewOf(manyEndpoints()[7:]...))
			return epoch.Add(2 * time.Second)
		},
		"answered shortly before": func(c *Table) time.Time {
			c.RecordAnswer(epoch, 1, false)
			for i := range 6 {
				crash(c, epoch, 1, fmt.Sprint(i))
			}
			return epoch
		},
		"with other content on all": func(c *Table) time.Time {
			for i := range 4 {
				crash(c, epoch, 1, fmt.Sprint(i))
				crash(c, epoch, 2, fmt.Sprint(i))
			}
			return epoch
		},
	}
	for name, happen := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestTable()
			now := happen(c).Add(earlyTrialDelay)
			assert.Equal(t, c.State(now, 1).Standing, Quarantined)
			assert.Assert(t, !isRefused(c, now, 1))
			p := c.Begin(now, 1, "trial", now.Add(time.Minute))
			assert.DeepEqual(t, p, Permission{Trial: true})
			assert.Equal(t, c.Begin(now, 1, "beside it", now.Add(time.Minute)).Outcome, Waiting)
			c.RecordAnswer(now, 1, true)
			assert.Equal(t, c.State(now, 1).Standing, Clear)
		})
	}
}

// Guards against trials that crash endpoint after endpoint: they are ever farther apart.
func TestFailedTrialsBackOff(t *testing.T) {
	c := newTestTable()
	for i := range crashLimit {
		crash(c, epoch, 1, fmt.Sprint(i))
	}
	now := epoch
	var delays []time.Duration
	for i := range 5 {
		delay := c.State(now, 1).RefusedFor
		delays = append(delays, delay)
		now = now.Add(delay)
		assert.Assert(t, c.Begin(now, 1, "trial", now.Add(time.Minute)).Trial)
		c.RecordBreak(now, Break{Content: 1, Endpoint: Endpoint{Key: fmt.Sprint(10 + i), Service: "s"}, Trial: true})
		c.Resolve(now, now, fmt.Sprint(10+i), Crashed, EvidenceRefused)
		c.End(1, "trial")
	}
	assert.DeepEqual(t, delays, []time.Duration{time.Minute, 2 * time.Minute, 4 * time.Minute, 8 * time.Minute, maxTrialDelay})
}

// Guards against a second trial in the milliseconds in which it is not known yet whether the
// first one has crashed its endpoint: the retry of its request would crash another one.
func TestTrialAwaitsItsVerdict(t *testing.T) {
	c := newTestTable()
	for i := range crashLimit {
		crash(c, epoch, 1, fmt.Sprint(i))
	}
	now := epoch.Add(trialDelay)
	latest := now.Add(time.Minute)
	assert.DeepEqual(t, c.Begin(now, 1, "trial", latest), Permission{Trial: true})
	c.RecordBreak(now, Break{Content: 1, Endpoint: Endpoint{Key: "10", Service: "s"}, Trial: true})
	c.End(1, "trial")
	assert.Equal(t, c.Begin(now, 1, "retry", latest).Outcome, Waiting)
	c.Resolve(now, now, "10", Crashed, EvidenceRefused)
	assert.Equal(t, c.Begin(now, 1, "retry", latest).Outcome, Refused)
}

// Guards against two contents that crash endpoints at the same time and are each tried again
// and again, since the losses of the other look like an outage.
func TestTwoCrashingContentsHaveOneEarlyTrialEach(t *testing.T) {
	c := newTestTable()
	now := epoch
	for i := range crashLimit {
		crash(c, now, 1, fmt.Sprint(2*i))
		crash(c, now.Add(200*time.Millisecond), 2, fmt.Sprint(2*i+1))
		now = now.Add(400 * time.Millisecond)
	}
	for i, content := range []Content{1, 2} {
		now = now.Add(earlyTrialDelay)
		assert.Assert(t, c.Begin(now, content, "trial", now.Add(time.Minute)).Trial)
		endpoint := fmt.Sprint(10 + i)
		c.RecordBreak(now, Break{Content: content, Endpoint: Endpoint{Key: endpoint, Service: "s"}, Trial: true})
		c.Resolve(now, now, endpoint, Crashed, EvidenceRefused)
		c.End(content, "trial")
	}
	for _, content := range []Content{1, 2} {
		assert.Assert(t, c.State(now, content).RefusedFor > trialDelay)
	}
}
