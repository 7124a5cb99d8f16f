package integration

import (
	"fmt"
	"sync"
	"testing"
)

// shownComplaints is how many faults of one kind are printed.
const shownComplaints = 5

// complaints collects faults that may come in hundreds, and prints a few.
type complaints struct {
	mu    sync.Mutex
	kinds map[string][]string
}

func (c *complaints) add(kind, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kinds == nil {
		c.kinds = make(map[string][]string)
	}
	c.kinds[kind] = append(c.kinds[kind], fmt.Sprintf(format, args...))
}

// report fails the test if there were any.
func (c *complaints) report(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind, list := range c.kinds {
		t.Errorf("%s: %d times", kind, len(list))
		for _, text := range list[:min(len(list), shownComplaints)] {
			t.Log(text)
		}
	}
}
