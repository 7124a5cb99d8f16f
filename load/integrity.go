package load

import (
	"fmt"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/fake"
)

// checkStandInRuns counts requests that were refused although a stage ran, and
// unrepeatable stages that ran more than once, from the counts of the stand-ins.
func (i *Integrity) checkStandInRuns(b *bundle.Bundle, samples []Sample, counts []fake.Counts) {
	i.Checked = true
	i.checkUnrepeatable(b, counts)
	starts := make(map[string]int)
	for _, c := range counts {
		for marker, n := range c.Starts {
			starts[marker] += n
		}
	}
	for k := range samples {
		s := &samples[k]
		// All crash requests share a marker, so their runs cannot be attributed to
		// one of them.
		if s.Kind == KindCrash || s.Outcome != api.OutcomeRefused || starts[s.Marker] == 0 {
			continue
		}
		i.RefusedButRan++
		i.addExample(fmt.Sprintf("%s: refused as %s, and ran %d stages", s.Marker, s.Reason, starts[s.Marker]))
	}
}

// checkUnrepeatable counts unrepeatable stages that ran more than once for one
// request.
func (i *Integrity) checkUnrepeatable(b *bundle.Bundle, counts []fake.Counts) {
	for stage := range unrepeatableStages(b) {
		starts := make(map[string]int)
		for _, c := range counts {
			for marker, n := range c.StageStarts[stage] {
				starts[marker] += n
			}
		}
		for marker, n := range starts {
			if n > 1 {
				i.RepeatedStages++
				i.addExample(fmt.Sprintf("%s: unrepeatable stage %s ran %d times", marker, stage, n))
			}
		}
	}
}

// unrepeatableStages returns the names of the stages that must not run twice.
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
