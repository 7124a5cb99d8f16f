package gateway_test

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/rawhttp"
	"github.com/mangostage/mangostage/platform/standin"
)

// uploadBytes is the length of an upload, more than the sockets of a connection hold.
const uploadBytes = 8 << 20

// uploadRounds is how many uploads are made of each kind, side by side: the order of two events
// decides.
var uploadRounds = flag.Int("upload.rounds", 4, "uploads of each kind")

// uploadEnd is what an endpoint does to the connection after its early answer.
type uploadEnd string

const (
	uploadReset     uploadEnd = "reset"
	uploadClosed    uploadEnd = "closed"
	uploadHalfEnded uploadEnd = "half ended"
	uploadRead      uploadEnd = "read on"
	// uploadEndedAndReset ends the endpoint's side before the reset.
	uploadEndedAndReset uploadEnd = "half ended, then reset"
)

// endsSide reports whether the endpoint ends its side of the connection before any reset.
func (e uploadEnd) endsSide() bool { return e == uploadHalfEnded || e == uploadEndedAndReset }

// end ends the connection.
func (e uploadEnd) end(conn *net.TCPConn, req *http.Request) {
	switch e {
	case uploadReset:
		_ = conn.SetLinger(0)
		_ = conn.Close()
	case uploadClosed:
		// With bytes of the request unread, the kernel resets the connection.
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	case uploadEndedAndReset:
		_ = conn.CloseWrite()
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.SetLinger(0)
		_ = conn.Close()
	case uploadHalfEnded:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	case uploadRead:
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

// earlyAnswer is an answer that comes while the request is still being written.
type earlyAnswer struct {
	framing string
	// missing is how many bytes at its end do not come.
	missing int
	end     uploadEnd
	pause   time.Duration
}

// whole reports whether all of the answer has come before the connection ends.
func (e earlyAnswer) whole() bool {
	return e.missing == 0 && (e.framing != "connection" || e.end.endsSide())
}

// mayBeWhole reports whether the answer cannot be told from a whole one.
func (e earlyAnswer) mayBeWhole() bool { return e.framing == "connection" && e.end.endsSide() }

// text returns what comes of the answer.
func (e earlyAnswer) text(a rawhttp.Answer) string {
	text := a.Connection()
	switch e.framing {
	case "length":
		text = a.Length("HTTP/1.1 200 OK")
	case "chunks":
		text = a.Chunked("")
	}
	return text[:len(text)-e.missing]
}

// answer answers at once, pauses and ends the connection.
func (e earlyAnswer) answer(d road) func(conn *net.TCPConn, req *http.Request) {
	return func(conn *net.TCPConn, req *http.Request) {
		_, _ = io.WriteString(conn, e.text(d.soundAnswer(req)))
		time.Sleep(e.pause)
		e.end.end(conn, req)
	}
}

// earlyAnswers returns all kinds of early answers. Without an end of the connection, an answer
// that lacks bytes never ends.
func earlyAnswers() []earlyAnswer {
	var all []earlyAnswer
	for _, framing := range []string{"length", "chunks", "connection"} {
		for _, missing := range []int{0, 1, 4} {
			for _, end := range []uploadEnd{uploadReset, uploadClosed, uploadHalfEnded, uploadEndedAndReset, uploadRead} {
				for _, pause := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond} {
					e := earlyAnswer{framing, missing, end, pause}
					if end != uploadRead || e.whole() {
						all = append(all, e)
					}
				}
			}
		}
	}
	return all
}

// newUploadRig returns a gateway that lets uploads in.
func newUploadRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t)
	r.config.Limits.BodyBytes = 2 * uploadBytes
	return r
}

// Guards against a part of an answer that counts as the whole one because its endpoint reset the
// connection while the upload was being written, and a whole one that is lost by that.
func TestEarlyAnswersToUploads(t *testing.T) {
	t.Parallel()
	upload := strings.Repeat("u", uploadBytes)
	for _, d := range []road{roads[0], roads[1], roads[2], roads[4], roads[5]} {
		t.Run(d.path, func(t *testing.T) {
			t.Parallel()
			r := newUploadRig(t)
			for _, e := range earlyAnswers() {
				s := rawhttp.Start(t, e.answer(d))
				id := fmt.Sprintf("%s-%d-%s-%s", e.framing, e.missing, e.end, e.pause)
				r.add(d.service, id, s.Addr)
				var rounds sync.WaitGroup
				for range *uploadRounds {
					rounds.Go(func() { checkUpload(t, r, d, e, upload) })
				}
				rounds.Wait()
				r.remove(id)
			}
		})
	}
}

// checkUpload makes one upload and checks what its caller gets.
func checkUpload(t *testing.T, r *rig, d road, e earlyAnswer, upload string) {
	t.Helper()
	req := r.request(http.MethodPost, d.path, upload)
	want := d.soundAnswer(req).Body
	got := r.do(req)
	answered := got.err == nil && got.status == http.StatusOK
	switch {
	case e.whole():
		assert.Check(t, answered && got.body == want, "%+v: whole answer lost: %d %q %v", e, got.status, got.body, got.err)
	case answered && !e.mayBeWhole():
		t.Errorf("%+v: %q looks whole", e, got.body)
	case !answered && got.err == nil:
		assert.Check(t, got.status == http.StatusBadGateway, "%+v: %d %q", e, got.status, got.body)
	}
}

// Guards against an upload that may be repeated and ends with the endpoint that reset its
// connection, although a sound one is there.
func TestUploadsGoOnAfterAReset(t *testing.T) {
	t.Parallel()
	upload := strings.Repeat("u", uploadBytes)
	d := roads[1]
	for _, framing := range []string{"length", "chunks"} {
		for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
			r := newUploadRig(t)
			bad := rawhttp.Start(t, earlyAnswer{framing, 1, uploadReset, pause}.answer(d))
			r.add(d.service, "bad", bad.Addr)
			r.addIn("south", d.service, "sound", serve(t, &standin.Endpoint{ID: "sound"}))
			for n := 0; bad.Requests.Load() == 0; n++ {
				assert.Assert(t, n < 50, "the bad endpoint got no request")
				got := r.do(r.request(http.MethodPost, d.path, upload))
				if framing == "chunks" && got.err != nil {
					// The head had to be passed on before the end of the body.
					continue
				}
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, "ok")
			}
		}
	}
}
