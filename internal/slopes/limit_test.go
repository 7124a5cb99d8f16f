package slopes

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/limit"
)

// BenchmarkLimitShare measures the share of refused requests of an account that
// stays below its rate limit, by the number of entries among which the limit is
// divided. The requests arrive at random times at random entries.
func BenchmarkLimitShare(b *testing.B) {
	const offeredRate = 19_000.0 / accountsFull
	const requests = 20_000
	for _, entries := range []int{3, 36, entriesFull} {
		for _, headroom := range []float64{1.2, 4} {
			b.Run(fmt.Sprintf("%d/headroom=%v", entries, headroom), func(b *testing.B) {
				limits := bundle.Limit{RequestsPerSecond: headroom * offeredRate, Burst: int(2 * headroom * offeredRate), InFlight: 1000}
				account := &bundle.Account{Name: accountName(1), Weight: 1, Limit: limits}
				for range b.N {
					b.ReportMetric(100*refusedShare(b, entries, account, offeredRate, requests), "%refused")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// refusedShare returns the share of refused requests, from 0 to 1.
func refusedShare(tb testing.TB, entries int, account *bundle.Account, offeredRate float64, requests int) float64 {
	tb.Helper()
	limiters := make([]limit.Limiter, entries)
	for i := range limiters {
		l, err := limit.New(bundle.Policy{Name: bundle.PolicyAdaptive})
		assert.NilError(tb, err)
		limiters[i] = l
	}
	rng := rand.New(rand.NewPCG(1, 2))
	demand := limit.Demand{Pool: poolName(0), ServiceTime: time.Second}
	now, refused, counted := epoch, 0, 0
	for i := range 2 * requests {
		now = now.Add(time.Duration(rng.ExpFloat64() / offeredRate * float64(time.Second)))
		l := limiters[rng.IntN(entries)]
		ok := l.Admit(now, account, entries, demand).OK
		if ok {
			l.Done(account, demand.Pool, now)
		}
		// The first half only drains the token buckets, which start full.
		if i >= requests {
			counted++
			if !ok {
				refused++
			}
		}
	}
	return float64(refused) / float64(counted)
}
