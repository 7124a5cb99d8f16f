package dispatch

import "time"

const (
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
)

// promptTimes estimates how long the engines of a service take to the first event:
// a base time and a time for each uncached prompt token. It is a weighted linear
// regression over the latest observations.
//
// A long prompt is read for a second, a short one for a tenth of that. With one
// estimate for all, the stages of long prompts would start too late although there
// was time.
type promptTimes struct {
	linearFit
	// token is the time for each token and base the time at none, in nanoseconds.
	token, base float64
}

func newPromptTimes() *promptTimes {
	t := &promptTimes{}
	for _, tokens := range []int{promptPriorShort, promptPriorLong} {
		t.add(float64(tokens), float64(promptBaseGuess+time.Duration(tokens)*promptTokenGuess), promptPriorWeight)
	}
	t.solve()
	return t
}

// learn adds an observation: the time to the first event of a prompt with the
// given number of uncached tokens.
func (t *promptTimes) learn(tokens int, took time.Duration) {
	t.linearFit.learn(float64(max(0, tokens)), float64(min(max(0, took), promptTimeMax)))
	t.solve()
}

// solve updates the estimates after an observation.
func (t *promptTimes) solve() {
	t.token = float64(t.perToken())
	t.base = t.at0(t.token)
}

// perToken returns the time for each token. Prompts of nearly equal length do not
// determine it; then it is the guess, or the mean time divided by the mean length
// if that is less.
func (t *promptTimes) perToken() time.Duration {
	slope, ok := t.slope()
	if !ok {
		return min(promptTokenGuess, time.Duration(t.y/max(1, t.x)))
	}
	return min(max(0, time.Duration(slope)), promptTokenMax)
}

// estimate returns the expected time to the first event of a prompt with the given
// number of uncached tokens.
func (t *promptTimes) estimate(tokens int) time.Duration {
	return time.Duration(t.base + t.token*float64(max(0, tokens)))
}
