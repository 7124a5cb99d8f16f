package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/mangostage/mangostage/internal/httpanswer"
)

const (
	entryTimeout = 5 * time.Second
	// maxEntryReply limits the bytes read of an entry's reply.
	maxEntryReply = 64 << 20
)

// entryClient queries entries.
var entryClient = httpanswer.NewClient()

// entryArguments are the arguments of commands that query entries as an operator.
type entryArguments struct {
	Entries    []string `arg:"--entries,separate,env:MANGOSTAGE_ENTRIES" help:"address of an entry, host:port; repeat for several"`
	Credential string   `arg:"--credential,env:MANGOSTAGE_CREDENTIAL" help:"operator's credential"`
}

func (a *entryArguments) check() error {
	var errs []error
	if len(a.Entries) == 0 {
		errs = append(errs, errors.New("--entries: is required"))
	}
	if a.Credential == "" {
		errs = append(errs, errors.New("--credential: is required"))
	}
	return errors.Join(errs...)
}

// get sends a GET request for path to one entry and decodes the JSON reply into
// result. A reply with any other status than 200 is a refusal.
func (a *entryArguments) get(ctx context.Context, entry, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	base := entry
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, http.NoBody)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+a.Credential)
	reply, err := entryClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxEntryReply))
	if err != nil {
		return err
	}
	if reply.StatusCode != http.StatusOK {
		return refusal{fmt.Errorf("%s answered %s: %s", entry, reply.Status, strings.TrimSpace(string(body)))}
	}
	return json.Unmarshal(body, result)
}
