package entry

import (
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/retry"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/suspect"
)

// policies gives the pipeline core access to the policies of the current
// generation. The core gets no event that needs one before the first generation.
type policies Entry

func (p *policies) router(*bundle.Policy) route.Router { return p.current.Load().router }

// Decide implements pipeline.Retrier.
func (p *policies) Decide(f retry.Failure, now time.Time) retry.Decision {
	return p.current.Load().retry.Decide(f, now)
}

// Hedge implements pipeline.Retrier.
func (p *policies) Hedge(pool string, now time.Time) bool {
	return p.current.Load().retry.Hedge(pool, now)
}

// Begin implements pipeline.Suspects.
func (p *policies) Begin(fingerprint string, now time.Time) suspect.Decision {
	return p.current.Load().suspects.Begin(fingerprint, now)
}

// Crashed implements pipeline.Suspects.
func (p *policies) Crashed(fingerprint string, c suspect.Crash, now time.Time) {
	p.current.Load().suspects.Crashed(fingerprint, c, now)
	p.suspects.changed.Store(true)
}

// Succeeded implements pipeline.Suspects.
func (p *policies) Succeeded(fingerprint string, now time.Time) {
	p.current.Load().suspects.Succeeded(fingerprint, now)
}

// Ended implements pipeline.Suspects.
func (p *policies) Ended(fingerprint string, now time.Time) {
	p.current.Load().suspects.Ended(fingerprint, now)
}
