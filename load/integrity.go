package load

import (
	"fmt"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/fake"
)

// checkRuns compares what callers were told with what the stand-ins ran.
func (i *Integrity) checkRuns(b *bundle.Bundle, samples []Sample, counts []fake.Counts) {
	i.Checked = true
	i.checkDoubled(b, counts)
	starts := make(map[string]int)
	for _, c := range counts {
		for marker, n := range c.Starts {
			starts[marker] += n
		}
	}
	for k := range samples {
		s := &samples[k]
		// All crash requests share a marker, so that their runs can't be told apart.
		if s.Kind == KindCrash || s.Outcome != api.OutcomeRefused || starts[s.Marker] == 0 {
			continue
		}
		i.RefusedButRan++
		i.example(fmt.Sprintf("%s: refused as %s, and ran %d stages", s.Marker, s.Reason, starts[s.Marker]))
	}
}

func (i *Integrity) checkDoubled(b *bundle.Bundle, counts []fake.Counts) {
	for stage := range unrepeatableStages(b) {
		starts := make(map[string]int)
		for _, c := range counts {
			for marker, n := range c.StageStarts[stage] {
				starts[marker] += n
			}
		}
		for marker, n := range starts {
			if n > 1 {
				i.Doubled++
				i.example(fmt.Sprintf("%s: unrepeatable stage %s ran %d times", marker, stage, n))
			}
		}
	}
}

func unrepeatableStages(b *bundle.Bundle) map[string]bool {
	stages := make(map[string]bool)
	for _, p := range b.Pipelines {
		for _, s := range p.Stages {
			if s.Unrepeatable {
				stages[s.Name] = true
			}
		}
	}
	return stages
}
