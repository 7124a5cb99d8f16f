package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Attempt is one attempt of a client.
type Attempt struct {
	ID, Method, Path string
	Deadline         time.Duration
	Header           http.Header
	Body             []byte
}

// NewID returns the ID of an attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Result is what the client got.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	// Err says that the answer is not complete.
	Err error
}

// String describes the result for the record.
func (r Result) String() string {
	if r.Err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v", r.Status, len(r.Body), r.Err)
	}
	return fmt.Sprintf("status %d, %d bytes, seal %q", r.Status, len(r.Body), r.Header.Get("Mangostage-Server-Seal"))
}

// NewClient returns a client with connections of its own.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

// Send sends an attempt to a gateway and reads its answer. The client waits for its deadline
// and a second.
func Send(client *http.Client, n *Node, a Attempt) Result {
	ctx, cancel := context.WithTimeout(context.Background(), a.Deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+n.Frontend+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return Result{Err: err}
	}
	req.Host = Host
	for name, values := range a.Header {
		req.Header[name] = values
	}
	req.Header.Set("Mangostage-Attempt-Id", a.ID)
	req.Header.Set("Mangostage-Deadline-Ms", strconv.FormatInt(a.Deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+Key)
	resp, err := client.Do(req)
	if err != nil {
		return Result{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Result{Status: resp.StatusCode, Header: resp.Header, Body: body, Err: err}
}
