package bundle

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDiff(t *testing.T) {
	decoded := func(yaml string) *Bundle {
		b, err := Decode("f", []byte(yaml))
		assert.NilError(t, err)
		return b
	}
	from := decoded(sample)
	assert.Equal(t, len(Diff(from, decoded(sample))), 0)
	to := decoded(strings.NewReplacer(
		"version: 3", "version: 4\npolicy: {drain_after: 2s}",
		"[orders-1, orders-2]", "[orders-2, orders-1, orders-3]",
		"name: engines\n", "name: motors\n",
		"burst: 10", "burst: 20",
		"    pipelines: [notes]\n", "",
		", unrepeatable: true", "",
	).Replace(sample))
	var lines []string
	for _, c := range Diff(from, to) {
		lines = append(lines, c.String())
	}
	assert.DeepEqual(t, lines, []string{
		"~ version: 3 -> 4",
		"~ policy.drain_after: 3s -> 2s",
		"~ accounts.shops.limit.burst: 10 -> 20",
		"- accounts.shops.pipelines: notes",
		`- pools.engines: {"name":"engines","protocol":"engine","endpoints":2,"concurrency":16,"queue":64,"models":["m1"]}`,
		"+ pools.orders.slots: orders-3",
		"~ pools.orders.slots: order orders-1, orders-2 -> orders-2, orders-1",
		`+ pools.motors: {"name":"motors","protocol":"engine","endpoints":2,"concurrency":16,"queue":64,"models":["m1"]}`,
		"~ pipelines.notes.stages.order.unrepeatable: true -> false",
	})
}
