package part

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawPrompt draws the shared parts of a sound request: a common one and some others.
func drawPrompt(t *rapid.T, label string) []ID {
	parts := []ID{first}
	for i := range rapid.IntRange(0, 3).Draw(t, label+" others") {
		parts = append(parts, ID(0x100+rapid.IntRange(0, 30).Draw(t, fmt.Sprint(label, i))))
	}
	return parts
}

// Guards against a deadly part that is not found within the bound, whatever comes with it, and
// against sound parts that are refused although they were answered since their last crash.
func TestOnePartIsFoundAmongRandomPrompts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig()
		at := rapid.IntRange(0, 2).Draw(t, "place of the part")
		reached := 0
		for ; !r.blames(deadly); reached++ {
			for i := range rapid.IntRange(1, 8).Draw(t, "answers") {
				r.answer(drawPrompt(t, fmt.Sprint("answered ", i))...)
			}
			r.pass(time.Duration(rapid.IntRange(20, 400).Draw(t, "passes")) * time.Millisecond)
			prompt := drawPrompt(t, "deadly")
			prompt = append(prompt[:min(at, len(prompt)):min(at, len(prompt))], append([]ID{deadly}, prompt[min(at, len(prompt)):]...)...)
			prompts := [][]ID{prompt}
			for i := range rapid.IntRange(0, 6).Draw(t, "victims") {
				prompts = append(prompts, drawPrompt(t, fmt.Sprint("victim ", i)))
			}
			r.crash(prompts...)
			assert.Assert(t, reached < crashLimit, "not found")
		}
		sound := drawPrompt(t, "sound")
		r.answer(sound...)
		assert.Assert(t, !r.blames(sound...))
	})
}

// Guards against members that disagree for good because they heard the same news in another
// order, or more than once.
func TestOrderOfNewsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var news []func(*rig)
		for i := range rapid.IntRange(1, 25).Draw(t, "crashes") {
			label := fmt.Sprint(i)
			c := Crash{
				Endpoint: fmt.Sprint("e", i), Service: "s", Content: uint64(i), Parts: append(drawPrompt(t, label), deadly),
				Trial: rapid.Bool().Draw(t, label+" trial"), At: epoch.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, label+" at")) * time.Millisecond),
			}
			news = append(news, func(r *rig) { r.RecordCrash(r.now, c) })
		}
		for i := range rapid.IntRange(0, 10).Draw(t, "answers") {
			label := fmt.Sprint("answer ", i)
			a := Answer{Part: drawPrompt(t, label)[0], Service: "s", At: epoch.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, label+" at")) * time.Millisecond)}
			news = append(news, func(r *rig) {
				r.Merge(r.now, a)
			})
		}
		order := rapid.Permutation(append(news, news...)).Draw(t, "order")
		a, b := newRig(), newRig()
		a.pass(5 * time.Second)
		b.pass(5 * time.Second)
		for _, tell := range append(news, news...) {
			tell(a)
		}
		for _, tell := range order {
			tell(b)
		}
		for id := ID(0x100); id < 0x120; id++ {
			assert.Equal(t, a.blames(id), b.blames(id), "%v", id)
		}
		assert.Equal(t, a.blames(deadly), b.blames(deadly))
		assert.DeepEqual(t, a.Judge(a.now, "s", []ID{deadly}), b.Judge(b.now, "s", []ID{deadly}))
	})
}
