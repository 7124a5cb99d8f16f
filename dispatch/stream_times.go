package dispatch

import "time"

const (
	// streamWeight is the weight of the newest stream in the mean time of a token, and
	// in its mean deviation.
	streamWeight = 0.05
	// longStream is how many mean deviations nearly all streams take longer than the
	// mean at most.
	longStream = 2
	// minStreams is the number of streams from which on the mean is used.
	minStreams = 8
	// maxStreamServices bounds the services of which times are kept.
	maxStreamServices = 256
)

// streamTimes estimates, by service, the time from the first event of an answer to its
// end.
type streamTimes map[string]*streamTime

// streamTime holds moving averages, in seconds for each output token.
type streamTime struct {
	mean, deviation float64
	n               int
}

// learn adds the time of a stream that was served.
func (t streamTimes) learn(j *job, took time.Duration) {
	e := t[j.Service]
	if e == nil {
		if len(t) >= maxStreamServices {
			return
		}
		e = &streamTime{}
		t[j.Service] = e
	}
	e.n++
	weight := max(streamWeight, 1/float64(e.n))
	off := took.Seconds()/float64(max(1, j.TokensOut)) - e.mean
	e.mean += weight * off
	if e.n > 1 {
		e.deviation += weight * (max(off, -off) - e.deviation)
	}
}

// estimate returns the mean time of such streams plus a number of mean deviations; ok is
// false while too few have been observed.
func (t streamTimes) estimate(j *job, deviations float64) (_ time.Duration, ok bool) {
	e := t[j.Service]
	if e == nil || e.n < minStreams {
		return 0, false
	}
	seconds := (e.mean + deviations*e.deviation) * float64(max(1, j.TokensOut))
	return boundedDuration(seconds * float64(time.Second)), true
}
