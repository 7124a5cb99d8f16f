package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/mangostage/mangostage/kernel"
)

// ServiceModule is the ID of the plug-in for plain HTTP services.
const ServiceModule kernel.ModuleID = protocolNamespace + ".service"

func init() {
	kernel.Register(kernel.Module{ID: ServiceModule, New: func() any { return serviceOpener{} }})
}

type serviceOpener struct{}

// Open returns a client of the service at baseURL.
func (serviceOpener) Open(baseURL string) (Protocol, error) {
	s, err := newSender(baseURL)
	if err != nil {
		return nil, err
	}
	return &service{sender: s}, nil
}

// service is a client of a plain service, such as an encoder, retriever or
// reranker, which answers each request with one JSON reply.
type service struct {
	sender *sender
}

// Run implements Protocol. It never calls chunk.
func (s *service) Run(ctx context.Context, call Call, _ func(int, string)) (Result, error) {
	result, err := s.run(ctx, call)
	if err == nil {
		return result, nil
	}
	if ctx.Err() != nil {
		s.sender.cancel(ctx, call.ID)
	}
	return Result{}, withContextCause(ctx, err)
}

func (s *service) run(ctx context.Context, call Call) (Result, error) {
	start := time.Now()
	request := RunRequest{Call: call.ID, Stage: call.Stage, Input: call.Input, Previous: call.Previous}
	resp, err := s.sender.call(ctx, PathRun, call.ID, call.Unrepeatable, request)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Result{}, failure(resp, call.ID)
	}
	var reply RunReply
	if err := decode(resp.Body, MaxReply, &reply); err != nil {
		return Result{}, lost(err)
	}
	if reply.Call != call.ID || len(reply.Output) == 0 {
		return Result{}, lost(ErrMalformed.New("reply is for call %q", reply.Call))
	}
	return Result{Output: reply.Output, Cost: cost(reply.Cost, start)}, nil
}

// Health implements Protocol.
func (s *service) Health(ctx context.Context) (Health, error) { return s.sender.health(ctx) }

// cost returns the cost that the endpoint reported in nanoseconds, or the time
// since start if it reported none.
func cost(reported int64, start time.Time) time.Duration {
	if reported > 0 {
		return time.Duration(reported)
	}
	return time.Since(start)
}
