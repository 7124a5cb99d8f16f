package rig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Piece is a piece of a call to a stage engine.
type Piece struct {
	ID      string   `json:"id"`
	Phase   int      `json:"phase"`
	Segment int      `json:"segment"`
	Key     string   `json:"key"`
	Inputs  []string `json:"inputs"`
}

// Results are the results that the stage engines of a case have made, by handle.
type Results struct {
	mu    sync.Mutex
	made  map[string]Piece
	freed map[string]bool
}

// NewResults returns an empty table.
func NewResults() *Results {
	return &Results{made: make(map[string]Piece), freed: make(map[string]bool)}
}

// Of returns the piece whose result has the handle, and whether it is still kept.
func (s *Results) Of(handle string) (p Piece, known, kept bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, known = s.made[handle]
	return p, known, known && !s.freed[handle]
}

// StageEngine is a stand-in of an engine of a stage's service.
type StageEngine struct {
	*Engine
	// CallTime and ItemTime are as in the configuration; Queue is the number of calls that
	// may wait.
	CallTime, ItemTime time.Duration
	Queue              int
	// Before, if set, is called when a call has come, After with the answer to it once that
	// is written.
	Before func(c *Conn, r *http.Request, pieces []Piece)
	After  func(c *Conn, r *http.Request, pieces []Piece, answer []byte)

	rig     *Rig
	results *Results
	mu      sync.Mutex
	inside  int
	turn    sync.Mutex
}

// AddStageEngine starts an engine of a stage's service with one slot.
func (r *Rig) AddStageEngine(id, service string, results *Results, callTime, itemTime time.Duration) *StageEngine {
	e := &StageEngine{CallTime: callTime, ItemTime: itemTime, Queue: 2, rig: r, results: results}
	e.Engine = r.AddEngine(id, service, 1, e.serve)
	return e
}

func (e *StageEngine) serve(c *Conn, r *http.Request, body []byte) bool {
	var message struct {
		Entries []Piece  `json:"entries"`
		Handles []string `json:"handles"`
	}
	_ = json.Unmarshal(body, &message)
	h := http.Header{"Content-Type": {"application/json"}}
	// Engines echo the ID of an attempt.
	if id := r.Header.Get("Mangostage-Attempt-Id"); id != "" {
		h.Set("Mangostage-Attempt-Id", id)
	}
	switch r.URL.Path {
	case "/stage-run":
	case "/stage-free":
		e.results.mu.Lock()
		for _, handle := range message.Handles {
			e.results.freed[handle] = true
		}
		e.results.mu.Unlock()
		return c.Answer(200, h, nil)
	default:
		return c.Answer(404, h, nil)
	}
	if e.Before != nil {
		e.Before(c, r, message.Entries)
	}
	if !e.enter() {
		h.Set("Mangostage-Not-Executed", "1")
		return c.Answer(503, h, nil)
	}
	e.turn.Lock()
	time.Sleep(e.CallTime + time.Duration(len(message.Entries))*e.ItemTime)
	e.turn.Unlock()
	e.mu.Lock()
	e.inside--
	e.mu.Unlock()
	answer := Bytes(200, h, e.make(message.Entries))
	if _, err := c.Write(answer); err != nil {
		return false
	}
	if e.After != nil {
		e.After(c, r, message.Entries, answer)
	}
	return true
}

func (e *StageEngine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inside > e.Queue {
		return false
	}
	e.inside++
	return true
}

// make makes the results of the pieces and returns the body of the answer.
func (e *StageEngine) make(pieces []Piece) []byte {
	e.results.mu.Lock()
	defer e.results.mu.Unlock()
	type entry struct {
		Handle string `json:"handle,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
	var entries []entry
	for _, p := range pieces {
		gone := slices.ContainsFunc(p.Inputs, func(handle string) bool {
			_, known := e.results.made[handle]
			return !known || e.results.freed[handle]
		})
		if gone {
			entries = append(entries, entry{Reason: "gone"})
			continue
		}
		handle := fmt.Sprintf("%s/%012x", e.Addr, rand.Uint64()>>16)
		e.results.made[handle] = p
		entries = append(entries, entry{Handle: handle})
	}
	data, err := json.Marshal(map[string]any{"entries": entries})
	if err != nil {
		panic(err)
	}
	return data
}

// CheckInputs returns what is wrong with the handles that a request or piece of a client's
// request was given: those of other requests or stages, or not as many as there should be.
func (s *Results) CheckInputs(id string, handles []string, stages map[int]int) string {
	got := make(map[int]map[int]int)
	for _, handle := range handles {
		p, known, _ := s.Of(handle)
		switch {
		case !known:
			return fmt.Sprintf("handle %s was never made", handle)
		case p.ID != id:
			return fmt.Sprintf("handle %s is piece %d of stage %d of request %s", handle, p.Segment, p.Phase, p.ID)
		case stages[p.Phase] == 0:
			return fmt.Sprintf("handle %s is of stage %d", handle, p.Phase)
		}
		if got[p.Phase] == nil {
			got[p.Phase] = make(map[int]int)
		}
		got[p.Phase][p.Segment]++
	}
	for stage, pieces := range stages {
		for i := range pieces {
			if got[stage][i] != 1 {
				return fmt.Sprintf("piece %d of stage %d was given %d times", i, stage, got[stage][i])
			}
		}
	}
	return ""
}

// Inputs returns the handles in the header of a request to a model engine.
func Inputs(r *http.Request) []string {
	text := r.Header.Get("Mangostage-Inputs")
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// WriteEvents answers with a stream of the events first to last, each after the pause.
func (c *Conn) WriteEvents(r *http.Request, first, last int, pause time.Duration) bool {
	h := Sealed(r)
	h.Set("Content-Type", "text/event-stream")
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	for name := range h {
		head += name + ": " + h.Get(name) + "\r\n"
	}
	if _, err := c.Write([]byte(head + "\r\n")); err != nil {
		return false
	}
	for i := first; i <= last; i++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, r.Header.Get("Mangostage-Attempt-Id"))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err == nil
}
