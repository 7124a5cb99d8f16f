package crash

import (
	"fmt"
	"testing"
	"time"
)

// fixedParts returns the same shared parts for each request.
func fixedParts(parts ...string) func(int) []string { return func(int) []string { return parts } }

// Guards against a part of prompts that crashes one engine after the other in requests of
// which no two are alike: wherever the part stands, in whatever company, at any rate and
// number of gateways.
func TestPartThatCrashesEngines(t *testing.T) {
	cases := map[string]partCase{
		"second of three":     {parts: []string{"dead"}, partsOf: fixedParts("f0", "dead"), most: 6},
		"first":               {parts: []string{"dead"}, partsOf: fixedParts("dead", "c1"), most: 6},
		"last but one":        {parts: []string{"dead"}, partsOf: fixedParts("f0", "c1", "c2", "dead"), most: 6},
		"in the same company": {parts: []string{"dead"}, partsOf: fixedParts("f0", "a1", "dead", "a2"), most: 6},
		"in changing company": {parts: []string{"dead"}, partsOf: func(n int) []string { return []string{"f0", fmt.Sprintf("a%d", n%3), "dead"} }, most: 6},
		"written differently": {parts: []string{"dead"}, partsOf: func(n int) []string { return []string{"f0", []string{"dead", "DEAD", "00dead"}[n%3]} }, most: 6},
		"one gateway":         {parts: []string{"dead"}, partsOf: fixedParts("f0", "dead"), most: 6, change: func(r *crashRig) { r.size = 1 }},
		"thirty gateways":     {parts: []string{"dead"}, partsOf: fixedParts("f0", "dead"), most: 6, change: func(r *crashRig) { r.size = 30 }},
		"most at one gateway": {parts: []string{"dead"}, partsOf: fixedParts("f0", "dead"), most: 6, change: func(r *crashRig) {
			r.size = 6
			r.favoured = true
		}},
		"one a second":    {parts: []string{"dead"}, partsOf: fixedParts("f0", "dead"), interval: time.Second, most: 6},
		"thirty a second": {parts: []string{"dead"}, partsOf: fixedParts("f0", "dead"), interval: time.Second / 30, most: 12, change: func(r *crashRig) { r.size = 6 }},
		"two parts":       {parts: []string{"dead", "bad"}, partsOf: func(n int) []string { return []string{"f0", []string{"dead", "bad"}[n%2]} }, most: 12},
		"long runs":       {parts: []string{"dead"}, partsOf: fixedParts("f0", "dead"), most: 6, change: func(r *crashRig) { r.runTime = 1500 * time.Millisecond }},
		"store away": {parts: []string{"dead"}, partsOf: fixedParts("f0", "dead"), most: 6, change: func(r *crashRig) {
			r.keepEntries = true
			r.storeAway = true
		}},
		"back under their IDs": {parts: []string{"dead"}, partsOf: fixedParts("f0", "dead"), most: 6, change: func(r *crashRig) { r.sameID = true }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { checkPartStopped(t, c) })
	}
}
