package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

// BenchmarkBatch measures one decision of a stage queue with waiting pieces.
func BenchmarkBatch(b *testing.B) {
	for _, waiting := range []int{8, 100, 2000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			c := New("test")
			c.SetView(epoch, testView([]string{"north", "south"}, 1))
			p := c.pools[serviceLight]
			for i := range waiting / 8 {
				j := newJob(testJob(fmt.Sprint(i)), epoch)
				s := j.stages[2]
				s.since = epoch
				s.startBy = epoch.Add(time.Duration(i) * time.Millisecond)
				p.push(s)
			}
			b.ReportAllocs()
			for b.Loop() {
				pieces := p.batch(p.workers[0], epoch)
				c.putBack(pieces)
			}
		})
	}
}

// putBack undoes a batch.
func (c *Core) putBack(pieces []placed) {
	for _, piece := range pieces {
		c.wait(piece.stage, []int{piece.index})
	}
}

// BenchmarkChoose measures one choice of a model engine.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 52, 2100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := New("test")
			c.SetView(epoch, testView([]string{"north"}, n))
			j := newJob(testJob("a"), epoch)
			j.Prefix = []catalog.PrefixPart{{ID: "1", Tokens: 2000}, {ID: "2", Tokens: 3000}, {ID: "3", Tokens: 100}}
			b.ReportAllocs()
			for b.Loop() {
				c.engines[serviceModel].choose(j, nil, epoch)
			}
		})
	}
}

// BenchmarkTick measures one look at all that waits, with as many results kept
// as the endpoints of one service have room for.
func BenchmarkTick(b *testing.B) {
	for _, results := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(results), func(b *testing.B) {
			c := New("test")
			c.SetView(epoch, testView([]string{"north", "south"}, 1))
			p := c.pools[serviceLight]
			for i := range results {
				w := p.workers[i%len(p.workers)]
				w.keep(&result{bytes: 1}, epoch)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.Tick(epoch)
			}
		})
	}
}
