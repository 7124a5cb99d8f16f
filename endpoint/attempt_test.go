package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// A call is reported as never written and its bytes leave a moment later: the
// caller gives up while the transport's own goroutine is about to write. In
// every interleaving, one of the two must see the other.
func TestSealExcludesALaterWrite(t *testing.T) {
	for range 2000 {
		a := newAttempt(context.Background())
		var wg sync.WaitGroup
		var begun error
		var written Written
		wg.Go(func() { begun = a.begin() })
		wg.Go(func() { written = a.seal() })
		wg.Wait()
		assert.Equal(t, bool(written), begun == nil)
		assert.Equal(t, a.begin() == nil, begun == nil)
	}
}

// A process stopped until after the deadline writes the call when it wakes,
// because its timers have not run yet. The clock itself must be asked.
func TestPassedDeadlineForbidsTheFirstWriteOnly(t *testing.T) {
	late := &attempt{deadline: time.Now()}
	assert.Assert(t, errorx.IsOfType(late.begin(), ErrTooLate))
	assert.Assert(t, !bool(late.seal()))
	begun := &attempt{wrote: true, deadline: time.Now()}
	assert.NilError(t, begun.begin())
	assert.Assert(t, bool(begun.seal()))
}

func TestConnectionHeldByNoCallTakesNoBytes(t *testing.T) {
	_, err := (&gatedConn{}).Write([]byte("x"))
	assert.Assert(t, err != nil)
}

func TestEventReader(t *testing.T) {
	cases := map[string]struct {
		stream string
		want   event
		fails  bool
	}{
		"one":       {"event: a\ndata: b\n\n", event{"a", []byte("b")}, false},
		"crlf":      {"\r\nevent:a\r\ndata:b\r\n\r\n", event{"a", []byte("b")}, false},
		"two lines": {": comment\ndata: b\ndata: c\n\n", event{"", []byte("b\nc")}, false},
		"cut":       {"event: a\ndata: b\n", event{}, true},
		"long line": {"data: " + strings.Repeat("x", MaxReply) + "\n\n", event{}, true},
		"long data": {strings.Repeat("data: "+strings.Repeat("x", 1<<10)+"\n", MaxReply>>10) + "\n", event{}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ev, err := newEventReader(strings.NewReader(c.stream)).next()
			assert.Equal(t, err != nil, c.fails, "%v", err)
			assert.Equal(t, ev.name, c.want.name)
			assert.Assert(t, bytes.Equal(ev.data, c.want.data))
		})
	}
	endless := io.MultiReader(strings.NewReader("data: a\n\n"), &repeat{text: "data: " + strings.Repeat("x", 1<<11) + "\n\n"})
	r := newEventReader(endless)
	var err error
	for err == nil {
		_, err = r.next()
	}
	assert.Assert(t, !errors.Is(err, io.EOF))
}

// repeat yields its text for ever.
type repeat struct{ text string }

func (r *repeat) Read(p []byte) (int, error) { return copy(p, r.text), nil }
