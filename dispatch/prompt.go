package dispatch

import "time"

const (
	// promptDecay is what an earlier observation counts when one is added, so
	// that about the last hundred decide.
	promptDecay = 0.99
	// promptPrior is what the times before any observation count.
	promptPrior = 5.0
	// promptBaseGuess and promptTokenGuess are those times: the order of
	// magnitude of today's engines.
	promptBaseGuess  = 120 * time.Millisecond
	promptTokenGuess = 25 * time.Microsecond
	// promptFew and promptMany are the lengths in tokens that stand for them.
	promptFew, promptMany = 1_000, 20_000
	// promptTimeMax bounds what is learned from one request, and promptTokenMax
	// the time for each token.
	promptTimeMax  = 10 * time.Second
	promptTokenMax = time.Millisecond
	// promptMinSpread is the part of the squares of the lengths below which their
	// spread is an error of rounding.
	promptMinSpread = 1e-6
)

// promptTimes learns how long the engines of a service take to the first event:
// a time by itself and one for each prompt token that they do not keep. It is a
// line through the latest observations.
//
// What it buys: a long prompt is read for a second, a short one for a tenth of
// it. With one time for all, the pieces of the long ones start when it is too
// late for them, though there was time.
type promptTimes struct {
	n, tokens, tokens2, time, timeTokens float64
}

func newPromptTimes() *promptTimes {
	t := &promptTimes{}
	for _, tokens := range []int{promptFew, promptMany} {
		t.add(tokens, promptBaseGuess+time.Duration(tokens)*promptTokenGuess, promptPrior)
	}
	return t
}

// learn notes that a prompt with so many unread tokens took a time to the first event.
func (t *promptTimes) learn(tokens int, took time.Duration) {
	for _, sum := range []*float64{&t.n, &t.tokens, &t.tokens2, &t.time, &t.timeTokens} {
		*sum *= promptDecay
	}
	t.add(tokens, min(max(0, took), promptTimeMax), 1)
}

func (t *promptTimes) add(tokens int, took time.Duration, weight float64) {
	x, y := float64(max(0, tokens)), float64(took)
	t.n += weight
	t.tokens += weight * x
	t.tokens2 += weight * x * x
	t.time += weight * y
	t.timeTokens += weight * x * y
}

// perToken is the time for each token. Prompts that are all alike do not tell:
// then it is the guess, or less if they take less in all.
func (t *promptTimes) perToken() time.Duration {
	spread := t.n*t.tokens2 - t.tokens*t.tokens
	if spread <= promptMinSpread*t.n*t.tokens2 {
		return min(promptTokenGuess, time.Duration(t.time/max(1, t.tokens)))
	}
	slope := time.Duration((t.n*t.timeTokens - t.tokens*t.time) / spread)
	return min(max(0, slope), promptTokenMax)
}

// of is the expected time for a prompt with so many unread tokens.
func (t *promptTimes) of(tokens int) time.Duration {
	slope := float64(t.perToken())
	base := max(0, (t.time-slope*t.tokens)/t.n)
	return time.Duration(base + slope*float64(max(0, tokens)))
}
