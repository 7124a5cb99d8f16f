package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/internal/sleep"
)

// Progress is the state of a run in progress. Length is its planned length with
// the warm-up. The counts are of requests; Finished counts those that are no
// longer in flight, whatever their outcome.
type Progress struct {
	Elapsed, Length                    time.Duration
	Sent, Finished, Answered, InFlight int
}

// sender sends the n-th arrival of a schedule, waits for the reply and returns
// the sample.
type sender interface {
	send(ctx context.Context, a *Arrival, n int, due time.Time) Sample
}

// driver sends the requests of a schedule in an open loop: it sends each request
// at its due time, however many others are in flight.
type driver struct {
	target   sender
	arrivals []Arrival
	samples  []Sample
	sent     atomic.Int64
	finished atomic.Int64
	answered atomic.Int64
}

// run sends the schedule and returns the samples when the last reply was received.
// If ctx ends early, it stops sending, and the unsent requests have no sample.
func (d *driver) run(ctx context.Context, start time.Time) []Sample {
	d.samples = make([]Sample, len(d.arrivals))
	var wg sync.WaitGroup
	sent := 0
	for i := range d.arrivals {
		due := start.Add(d.arrivals[i].At)
		if !sleep.Until(ctx, due) {
			break
		}
		sent++
		d.sent.Add(1)
		wg.Go(func() { d.send(ctx, i, due) })
	}
	wg.Wait()
	return d.samples[:sent]
}

func (d *driver) send(ctx context.Context, i int, due time.Time) {
	d.samples[i] = d.target.send(ctx, &d.arrivals[i], i, due)
	d.finished.Add(1)
	if d.samples[i].Outcome == api.OutcomeAnswered {
		d.answered.Add(1)
	}
}

// watch calls report with the progress once per interval until ctx ends.
func (d *driver) watch(ctx context.Context, start time.Time, length, interval time.Duration, report func(Progress)) {
	sleep.Every(ctx, interval, func(time.Time) {
		sent, finished := int(d.sent.Load()), int(d.finished.Load())
		report(Progress{
			Elapsed: time.Since(start), Length: length,
			Sent: sent, Finished: finished, Answered: int(d.answered.Load()), InFlight: sent - finished,
		})
	})
}
