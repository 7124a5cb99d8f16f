package dispatch

import "time"

const (
	// promptDecay is the factor by which the weight of earlier observations shrinks
	// with each new one, so that the last hundred or so dominate.
	promptDecay = 0.99
	// promptPriorWeight is the weight of each of the two prior observations.
	promptPriorWeight = 5.0
	// promptBaseGuess and promptTokenGuess are the times behind the prior
	// observations: the order of magnitude of current engines.
	promptBaseGuess  = 120 * time.Millisecond
	promptTokenGuess = 25 * time.Microsecond
	// promptPriorShort and promptPriorLong are the prompt lengths of the prior
	// observations, in tokens.
	promptPriorShort, promptPriorLong = 1_000, 20_000
	// promptTimeMax bounds one observed time, and promptTokenMax the time for each
	// token.
	promptTimeMax  = 10 * time.Second
	promptTokenMax = time.Millisecond
	// promptSpreadMin is the relative spread of the prompt lengths below which it
	// counts as a rounding error.
	promptSpreadMin = 1e-6
)

// promptTimes estimates how long the engines of a service take to the first event:
// a base time and a time for each uncached prompt token. It is a weighted linear
// regression over the latest observations.
//
// A long prompt is read for a second, a short one for a tenth of that. With one
// estimate for all, the stages of long prompts would start too late although there
// was time.
type promptTimes struct {
	n, tokens, tokens2, time, timeTokens float64
}

func newPromptTimes() *promptTimes {
	t := &promptTimes{}
	for _, tokens := range []int{promptPriorShort, promptPriorLong} {
		t.add(tokens, promptBaseGuess+time.Duration(tokens)*promptTokenGuess, promptPriorWeight)
	}
	return t
}

// learn adds an observation: the time to the first event of a prompt with the
// given number of uncached tokens.
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

// perToken returns the time for each token. Prompts of nearly equal length do not
// determine it; then it is the guess, or the mean time divided by the mean length
// if that is less.
func (t *promptTimes) perToken() time.Duration {
	spread := t.n*t.tokens2 - t.tokens*t.tokens
	if spread <= promptSpreadMin*t.n*t.tokens2 {
		return min(promptTokenGuess, time.Duration(t.time/max(1, t.tokens)))
	}
	slope := time.Duration((t.n*t.timeTokens - t.tokens*t.time) / spread)
	return min(max(0, slope), promptTokenMax)
}

// estimate returns the expected time to the first event of a prompt with the given
// number of uncached tokens.
func (t *promptTimes) estimate(tokens int) time.Duration {
	slope := float64(t.perToken())
	base := max(0, (t.time-slope*t.tokens)/t.n)
	return time.Duration(base + slope*float64(max(0, tokens)))
}
