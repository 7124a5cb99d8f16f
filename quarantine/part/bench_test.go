package part

import (
	"testing"
	"time"
)

// BenchmarkSixParts measures what a request with six shared parts costs in the calm, and while
// each of them has crashes.
func BenchmarkSixParts(b *testing.B) {
	parts := []ID{1, 2, 3, 4, 5, 6}
	for name, crashes := range map[string]int{"calm": 0, "after 10 crashes": 10} {
		b.Run(name, func(b *testing.B) {
			r := newRig()
			for range crashes {
				r.crash(parts)
				r.pass(time.Second)
				r.answer(parts...)
			}
			b.ReportAllocs()
			for b.Loop() {
				r.Judge(r.now, "s", parts)
				r.Judge(r.now, "s", parts)
				r.RecordAnswer(r.now, "s", parts)
			}
		})
	}
}
