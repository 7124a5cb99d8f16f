package discovery

import (
	"bytes"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
)

// ConfigVersion returns the version of the configuration in force, 0 without one.
func (s *State) ConfigVersion() uint64 {
	if s.index == nil {
		return 0
	}
	return s.index.Config.Version
}

// LacksConfig reports whether there is no configuration in force although the store has
// an item, not a valid configuration, under its key.
func (s *State) LacksConfig() bool { return s.index == nil && s.refusedConfig.Revision > 0 }

// applyConfig decodes an item of the configuration and adopts it, or keeps it to be
// decoded later.
func (s *State) applyConfig(now time.Time, item platform.Item) {
	switch {
	case item.Gone || !s.isNews(s.config, item) || item.Position() == s.refusedConfig.Position():
	case s.repeatsConfig(item):
		// Peers that lack it learn of it by the new position.
		s.config = item
	case !s.deferDecoding:
		s.adoptConfig(now, item, prepareConfig(item))
	case s.isNews(s.undecodedConfig, item):
		s.undecodedConfig = item
	}
}

// repeatsConfig reports whether an item is the configuration in force, written again.
func (s *State) repeatsConfig(item platform.Item) bool {
	return s.index != nil && item.Fault == "" && bytes.Equal(item.Value, s.config.Value)
}

// UndecodedConfig returns the item of the configuration that is to be decoded, and whether
// there is one.
func (s *State) UndecodedConfig() (platform.Item, bool) {
	return s.undecodedConfig, s.undecodedConfig.Revision > 0
}

// adoptConfig puts a decoded configuration into force. It never goes back to an older
// version, even after a stale read. A value that is not a valid configuration leaves the
// last good one in force: without one all requests would be refused until the operator
// writes again.
func (s *State) adoptConfig(now time.Time, item platform.Item, config preparedConfig) {
	if item.Position() == s.undecodedConfig.Position() {
		s.undecodedConfig = platform.Item{}
	}
	if config.err != nil {
		s.refuseConfig(item, config.err)
		return
	}
	if s.index != nil && config.index.Config.Version <= s.index.Config.Version {
		return
	}
	s.config = item
	s.index = config.index
	s.dirty = true
	s.registerServices(now)
}

// preparedConfig is the decoded configuration of an item, or the error of decoding it.
type preparedConfig struct {
	index *catalog.Index
	err   error
}

// prepareConfig decodes and indexes the configuration of an item.
func prepareConfig(item platform.Item) preparedConfig {
	config, err := decodeConfig(item)
	if err != nil {
		return preparedConfig{err: err}
	}
	return preparedConfig{index: catalog.NewIndex(config)}
}

// decodeConfig decodes the configuration of an item.
func decodeConfig(item platform.Item) (*catalog.Config, error) {
	value, err := item.Read()
	if err != nil {
		return nil, err
	}
	return platform.DecodeConfig(value)
}

// refuseConfig records an item under the configuration's key that is not a valid one.
func (s *State) refuseConfig(item platform.Item, err error) {
	if s.refusedConfig.Position().After(item.Position()) {
		return
	}
	s.refusedConfig = item.WithFault(err)
	s.fault(item, err)
}
