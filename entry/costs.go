package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/mangostage/mangostage/pipeline"
	"github.com/mangostage/mangostage/wire"
)

type costKey struct {
	pipeline, stage, account string
}

type cost struct {
	useful, wasted time.Duration
}

// costs sums the endpoint time used, by pipeline, stage and account.
type costs struct {
	mu    sync.Mutex
	total map[costKey]cost
}

func newCosts() *costs { return &costs{total: make(map[costKey]cost)} }

func (c *costs) add(e pipeline.Cost) {
	key := costKey{pipeline: e.Pipeline, stage: e.Stage, account: e.Account}
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.total[key]
	if e.Useful {
		sum.useful += e.Amount
	} else {
		sum.wasted += e.Amount
	}
	c.total[key] = sum
}

// list returns the sums sorted by pipeline, stage and account.
func (c *costs) list() []wire.StageCost {
	c.mu.Lock()
	list := make([]wire.StageCost, 0, len(c.total))
	for key, sum := range c.total {
		list = append(list, wire.StageCost{
			Pipeline: key.pipeline,
			Stage:    key.stage,
			Account:  key.account,
			Useful:   sum.useful,
			Wasted:   sum.wasted,
		})
	}
	c.mu.Unlock()
	slices.SortFunc(list, func(a, b wire.StageCost) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Account, b.Account))
	})
	return list
}
