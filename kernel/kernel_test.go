package kernel

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

func TestRegistry(t *testing.T) {
	Register(Module{ID: "test.scorer.one", New: func() any { return &BundleEvent{Version: 1} }})
	Register(Module{ID: "test.scorer.two", New: func() any { return &MemberEvent{} }})
	assert.DeepEqual(t, Modules("test.scorer"), []ModuleID{"test.scorer.one", "test.scorer.two"})
	got, err := Load[*BundleEvent]("test.scorer.one")
	assert.NilError(t, err)
	assert.Equal(t, got.Version, uint64(1))
	_, err = Load[*BundleEvent]("test.scorer.two")
	assert.ErrorContains(t, err, "not a *kernel.BundleEvent")
	_, err = New("test.scorer.absent")
	assert.ErrorContains(t, err, "no module")
}

func TestBusDelivers(t *testing.T) {
	bus, err := NewBus(zerolog.Nop())
	assert.NilError(t, err)
	got := make(chan BundleEvent, 1)
	Handle(bus, "test", TopicBundle, func(e BundleEvent) { got <- e })
	go func() { _ = bus.Run(context.Background()) }()
	<-bus.Running()
	want := BundleEvent{Version: 7, Adopted: true, Source: "platform"}
	assert.NilError(t, Publish(bus, TopicBundle, want))
	select {
	case e := <-got:
		assert.DeepEqual(t, e, want)
	case <-time.After(5 * time.Second):
		t.Fatal("no event")
	}
	assert.NilError(t, bus.Close())
}
