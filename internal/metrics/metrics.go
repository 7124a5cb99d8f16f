// Package metrics reads the metrics that gateways serve under /metrics.
package metrics

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/fleet"
	"github.com/mangostage/mangostage/gateway"
	"github.com/mangostage/mangostage/internal/httpanswer"
	"github.com/mangostage/mangostage/scheduler"
)

const (
	// timeout is the maximum duration of one read; gateways answer within
	// milliseconds.
	timeout = 2 * time.Second
	// maxBytes is the maximum size of one gateway's metrics.
	maxBytes = 16 << 20
)

// Gateway holds the metrics of one gateway.
type Gateway struct {
	Ownership    fleet.Ownership              `json:"ownership"`
	FleetSize    int                          `json:"fleet_size"`
	StoreAt      uint64                       `json:"store_at"`
	StoreHealthy bool                         `json:"store_healthy"`
	Answers      map[string]int64             `json:"answers"`
	Latency      map[string]gateway.Quantiles `json:"latency_ms"`
	Queues       scheduler.Stats              `json:"queues"`
	Endpoints    []balance.Stats              `json:"endpoints"`
	// Evacuated holds the failure domains that are evacuated and get no work.
	Evacuated    map[string]uint64 `json:"evacuated_domains"`
	LinesDropped uint64            `json:"log_lines_dropped"`
}

// client reads metrics.
var client = httpanswer.NewClient()

// Read reads the metrics that the gateway serves at addr, "host:port", into the
// value that into points to.
func Read(ctx context.Context, addr string, into *Gateway) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", addr, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	if err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	return nil
}
