package clients

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

var (
	seedCount = flag.Int("clients.seeds", 3, "number of seeds of mixed crowds")
	firstSeed = flag.Uint64("clients.first", 1, "first seed of mixed crowds")
)

// Bounds of the size of a mixed crowd.
const (
	minMixed = 20
	maxMixed = 120
)

// mixedPlays are the kinds of which mixed crowds are made. stop is where a client stops sending,
// in bytes.
var mixedPlays = map[string]func(r *rig, c *client, random *rand.Rand, stop int64){
	"silent": func(*rig, *client, *rand.Rand, int64) {},
	"head line": func(r *rig, c *client, _ *rand.Rand, stop int64) {
		c.send(r.head("/plain/x", "k1") + "X-A: ")
		c.sendUpTo(stop, filler)
	},
	"head lines": func(r *rig, c *client, _ *rand.Rand, stop int64) {
		c.send(r.head("/plain/x", "k1"))
		c.sendUpTo(stop, strings.Repeat("a: b\r\n", 100))
	},
	"different head lines": func(r *rig, c *client, _ *rand.Rand, stop int64) {
		c.send(r.head("/plain/x", "k1"))
		for i := 0; c.sent < stop && c.send(differentLines(i, 100)); i += 100 {
		}
	},
	"empty lines": func(_ *rig, c *client, random *rand.Rand, stop int64) {
		c.sendUpTo(stop, strings.Repeat([]string{"\r\n", "\n"}[random.IntN(2)], 1000))
	},
	"chunks": func(r *rig, c *client, random *rand.Rand, stop int64) {
		chunk := chunkOf(filler[:1+random.IntN(fillerBytes-1)])
		c.send(r.chunkedHead([]string{"/plain/x", "/once/x"}[random.IntN(2)], []string{"k1", "k2", "k3"}[random.IntN(3)]))
		c.sendUpTo(stop, strings.Repeat(chunk, max(1, fillerBytes/len(chunk))))
	},
	"body": func(r *rig, c *client, random *rand.Rand, stop int64) {
		c.send(r.lengthHead("/plain/x", []string{"k1", "k2", "k3"}[random.IntN(3)], bodyLimit))
		c.sendUpTo(min(stop, bodyLimit), filler)
	},
	"huge body": func(r *rig, c *client, _ *rand.Rand, stop int64) {
		c.send(r.lengthHead("/plain/x", "k1", hugeBody))
		c.sendUpTo(stop, filler)
	},
	"large answer": func(r *rig, c *client, _ *rand.Rand, _ int64) { c.send(r.lengthHead("/large/x", "k1", 0)) },
	"requests": func(r *rig, c *client, random *rand.Rand, _ int64) {
		for range random.IntN(requestsAtOnce) {
			if !c.send(r.lengthHead("/plain/x", "k1", 0)) {
				return
			}
		}
	},
}

// Guards against crowds whose clients misbehave in several ways at once.
func TestMixedCrowds(t *testing.T) {
	names := make([]string, 0, len(mixedPlays))
	for name := range mixedPlays {
		names = append(names, name)
	}
	slices.Sort(names)
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runMixed(t, seed, names) })
	}
}

// runMixed plays the crowd of a seed.
func runMixed(t *testing.T, seed uint64, names []string) {
	random := rand.New(rand.NewPCG(seed, 0))
	r := newRig(t)
	size := minMixed + random.IntN(maxMixed-minMixed)
	again := random.IntN(3) == 0
	t.Logf("%d clients, again %t", size, again)
	kinds := make([]string, size)
	stops := make([]int64, size)
	for i := range kinds {
		kinds[i] = names[random.IntN(len(names))]
		stops[i] = 1 << (8 + random.IntN(16))
	}
	r.runAgainst(&crowd{addr: r.frontend, size: size, again: again, play: func(c *client, i int) {
		mixedPlays[kinds[i]](r, c, rand.New(rand.NewPCG(seed, uint64(i))), stops[i])
	}})
}
