package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawLoss draws a loss of one of a few endpoints under one of a few contents.
func drawLoss(t *rapid.T, label string) Loss {
	return Loss{
		Content:  Content(rapid.Uint64Range(1, 2).Draw(t, label+" content")),
		Endpoint: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, label+" endpoint")),
		Service:  "s",
		Verdict:  Verdict(rapid.IntRange(int(Pending), int(Crashed)).Draw(t, label+" verdict")),
		Answers:  rapid.IntRange(0, answersToForgive).Draw(t, label+" answers"),
		Trial:    rapid.Bool().Draw(t, label+" trial"),
		Served:   rapid.Bool().Draw(t, label+" served"),
		Age:      time.Duration(rapid.IntRange(0, 5000).Draw(t, label+" age")) * time.Millisecond,
	}
}

// Guards against members that disagree for good because they heard the same losses in
// another order, or more than once.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		losses := make([]Loss, rapid.IntRange(1, 20).Draw(t, "losses"))
		for i := range losses {
			losses[i] = drawLoss(t, fmt.Sprint(i))
		}
		order := rapid.Permutation(append(losses, losses...)).Draw(t, "order")
		a, b := newTestTable(), newTestTable()
		for _, l := range losses {
			a.Merge(epoch, l)
		}
		for _, l := range order {
			b.Merge(epoch, l)
		}
		for content := Content(1); content <= 2; content++ {
			assert.DeepEqual(t, a.State(epoch, content), b.State(epoch, content))
		}
	})
}

// Guards against an arbiter that lets one content crash more endpoints than the bound,
// whatever the order in which runs begin, crash, end without a result and are told.
func TestRunsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestTable()
		now := epoch
		var running []string
		crashes, unknown := 0, rapid.IntRange(1, 5).Draw(t, "copies before the first crash")
		for i := range unknown {
			running = append(running, fmt.Sprint("first-", i))
		}
		for step := range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "passes")) * time.Millisecond)
			if rapid.Bool().Draw(t, "begins") && (crashes > 0 || len(running) < unknown) {
				run := fmt.Sprint("run-", step)
				if c.Begin(now, 1, run, now.Add(time.Minute)).Outcome == Granted {
					running = append(running, run)
				}
				continue
			}
			if len(running) == 0 {
				continue
			}
			run := running[0]
			running = running[1:]
			if rapid.IntRange(0, 3).Draw(t, "ends without a result") == 0 {
				c.End(1, run)
				continue
			}
			crashes++
			crash(c, now, 1, run)
			c.End(1, run)
		}
		assert.Assert(t, crashes <= crashLimit+unknown, "%d crashes, %d copies", crashes, unknown)
	})
}

// FuzzMerge guards against messages of other members that end the process, break the bounds
// of the table or make content wait for good.
func FuzzMerge(f *testing.F) {
	f.Add(uint64(1), "e", 3, 1, int64(0), int64(time.Second), false)
	f.Add(uint64(1), "", -1, -5, int64(-1), int64(-1), true)
	f.Add(uint64(1)<<63, "x@1", 99, 1<<40, int64(1)<<62, int64(1)<<62, true)
	f.Fuzz(func(t *testing.T, content uint64, endpoint string, verdict, answers int, age, ranFor int64, trial bool) {
		c := newTestTable()
		for i := range 5 {
			c.Merge(epoch, Loss{
				Content: Content(content), Endpoint: endpoint + fmt.Sprint(i), Verdict: Verdict(verdict), Answers: answers,
				Age: time.Duration(age), RanFor: time.Duration(ranFor), Trial: trial,
			})
		}
		c.Begin(epoch, Content(content), "run", epoch.Add(time.Minute))
		c.Stats(epoch)
		s := c.State(epoch.Add(contentTime), Content(content))
		assert.Assert(t, s.RefusedFor <= 0, "refused for %v", s.RefusedFor)
		assert.Assert(t, len(c.contents) <= maxContents)
	})
}
