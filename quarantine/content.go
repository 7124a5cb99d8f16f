package quarantine

import (
	"time"

	"github.com/mangostage/mangostage/quarantine/part"
)

const (
	// crashLimit is the number of crashes after which content is quarantined.
	crashLimit = 3
	// answersToForgive is the number of complete answers that forgive one crash. It is more
	// than one because content that crashes at every second run must be stopped too.
	answersToForgive = 2
	// quarantineWeight is the weight of crashes from which content is quarantined.
	quarantineWeight = crashLimit * answersToForgive
	// pendingTime is how long a loss without a verdict counts as a crash.
	pendingTime = 3 * time.Second
	// earlyTrialDelay is the time from the latest crash to the first trial if the crashes
	// may have another cause, trialDelay the time if not. Both double with each trial that
	// crashes an endpoint, up to maxTrialDelay.
	earlyTrialDelay = time.Second
	trialDelay      = time.Minute
	maxTrialDelay   = 10 * time.Minute
	// minRunTime is how long a run of suspect content counts at least. One that has lasted
	// twice as long as any before its crash leaves its place to the next.
	minRunTime = 500 * time.Millisecond
	// maxLossesPerContent bounds the losses of one content that are remembered.
	maxLossesPerContent = 32
)

// Subject is what a request is known by across retries and other requests.
type Subject struct {
	Content Content
	// Parts are the parts of the request's prompt that other requests may share.
	Parts []part.ID
	// Service is the service that serves the request.
	Service string
}

// Standing is what may be done with content.
type Standing int

// The standings.
const (
	// Clear content runs without limits.
	Clear Standing = iota
	// Suspect content runs in few copies at the same time.
	Suspect
	// Quarantined content is refused.
	Quarantined
)

// String returns the standing as logs show it.
func (s Standing) String() string {
	switch s {
	case Clear:
		return "clear"
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	}
	return "unknown"
}

// contentState is what is known of one content.
type contentState struct {
	// losses holds the losses by endpoint.
	losses map[string]*loss
	// runs holds the ends of the runs that were granted here, by run.
	runs map[string]time.Time
	// standing is the standing that was last reported.
	standing Standing
}

// weights returns the weight of the crashes, and that of the losses without a verdict.
func (c *contentState) weights(now time.Time) (crashed, pending int) {
	for _, l := range c.losses {
		switch {
		case l.Verdict == Crashed:
			crashed += l.weight()
		case l.Verdict == Pending && now.Sub(l.at) < pendingTime:
			pending += l.weight()
		}
	}
	return crashed, pending
}

// awaitsVerdict reports whether there is a loss of which it is not known yet what became of
// the endpoint.
func (c *contentState) awaitsVerdict(now time.Time) bool {
	_, pending := c.weights(now)
	return pending > 0
}

// currentStanding returns the content's standing.
func (c *contentState) currentStanding(now time.Time) Standing {
	crashed, pending := c.weights(now)
	switch {
	case crashed >= quarantineWeight:
		return Quarantined
	case crashed+pending > 0:
		return Suspect
	}
	return Clear
}

// maxRuns returns how many copies of suspect content may run at the same time: as many as
// may crash before it is quarantined. 0 means that verdicts have to be awaited.
func (c *contentState) maxRuns(now time.Time) int {
	crashed, pending := c.weights(now)
	left := quarantineWeight - crashed - pending
	return max(0, (left+answersToForgive-1)/answersToForgive)
}

// running returns the number of granted runs that have neither ended nor lasted long enough.
func (c *contentState) running(now time.Time) int {
	n := 0
	for run, until := range c.runs {
		if now.Before(until) {
			n++
			continue
		}
		delete(c.runs, run)
	}
	return n
}

// runTime returns how long a run that begins now may yet crash its endpoint, as far as the
// crashes so far tell.
func (c *contentState) runTime() time.Duration {
	longest := minRunTime
	for _, l := range c.losses {
		longest = max(longest, 2*l.RanFor)
	}
	return longest
}

// latestCrash returns the latest crash that is not forgiven; nil if there is none.
func (c *contentState) latestCrash() *loss {
	var latest *loss
	for _, l := range c.losses {
		if l.Verdict != Crashed || l.weight() == 0 {
			continue
		}
		if latest == nil || l.at.After(latest.at) {
			latest = l
		}
	}
	return latest
}

// failedTrials returns the number of trials that crashed their endpoint.
func (c *contentState) failedTrials() int {
	n := 0
	for _, l := range c.losses {
		if l.Trial && l.Verdict == Crashed && l.weight() > 0 {
			n++
		}
	}
	return n
}

// servedBefore reports whether the content had been answered before it was lost with
// endpoints.
func (c *contentState) servedBefore() bool {
	for _, l := range c.losses {
		if l.Served {
			return true
		}
	}
	return false
}

// trialAt returns when the next trial of quarantined content is due. ambiguous is true if
// the latest crash may have another cause.
func (c *contentState) trialAt(ambiguous bool) time.Time {
	latest := c.latestCrash()
	if latest == nil {
		return time.Time{}
	}
	failed := c.failedTrials()
	delay := trialDelay
	if ambiguous || latest.ServiceLost || failed == 0 && c.servedBefore() {
		delay = earlyTrialDelay
	}
	return latest.at.Add(min(maxTrialDelay, delay<<min(failed, maxTrialDoublings)))
}

// maxTrialDoublings keeps the doubled delays in range.
const maxTrialDoublings = 10

// answered counts a complete answer: it forgives part of the oldest loss or, after a trial,
// all of them. It returns the losses that have changed.
func (c *contentState) answered(trial bool) []*loss {
	var changed []*loss
	var oldest *loss
	for _, l := range c.losses {
		if l.weight() == 0 || l.Verdict == Alive || l.Verdict == Silent {
			continue
		}
		if trial {
			l.Answers = answersToForgive
			changed = append(changed, l)
			continue
		}
		if oldest == nil || l.at.Before(oldest.at) {
			oldest = l
		}
	}
	if oldest != nil {
		oldest.Answers++
		changed = append(changed, oldest)
	}
	return changed
}

// dropOldest removes the oldest loss and returns its endpoint.
func (c *contentState) dropOldest() string {
	oldest := ""
	for endpoint, l := range c.losses {
		if oldest == "" || l.at.Before(c.losses[oldest].at) {
			oldest = endpoint
		}
	}
	delete(c.losses, oldest)
	return oldest
}

// latest returns the time of the latest loss.
func (c *contentState) latest() time.Time {
	var latest time.Time
	for _, l := range c.losses {
		if l.at.After(latest) {
			latest = l.at
		}
	}
	return latest
}
