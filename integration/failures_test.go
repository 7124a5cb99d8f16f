package integration

import (
	"fmt"
	"sync"
	"testing"
)

// maxFailuresShown is how many failures of one kind are printed.
const maxFailuresShown = 5

// failures collects failures by kind, of which there may be hundreds, and prints the
// first few of each.
type failures struct {
	mu     sync.Mutex
	byKind map[string][]string
}

func (c *failures) add(kind, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKind == nil {
		c.byKind = make(map[string][]string)
	}
	c.byKind[kind] = append(c.byKind[kind], fmt.Sprintf(format, args...))
}

// report fails the test if there were any failures, and prints them.
func (c *failures) report(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind, list := range c.byKind {
		t.Errorf("%s: %d times", kind, len(list))
		for _, text := range list[:min(len(list), maxFailuresShown)] {
			t.Log(text)
		}
	}
}
