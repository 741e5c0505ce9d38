package replica

import (
	"bytes"
	"dunespoke/internal/controlplane/message"
	"fmt"
	"testing"
)

// Given committed configurations, when one is requested as a delta, then the result is a delta if the base is
// kept and the full configuration otherwise, and it is computed once for all readers.
func TestConfigHistoryCachesDeltas(t *testing.T) {
	h := newConfigHistory()
	configOf := func(version uint64) []byte { return fmt.Appendf(nil, "configuration %d", version) }
	for version := uint64(1); version <= maxConfigHistory+1; version++ {
		h.add(message.ConfigVersion{Version: version, Config: configOf(version)})
		h.add(message.ConfigVersion{Version: version, Config: configOf(version)}) // added twice
	}
	newest, _ := h.find(h.newest())
	if newest.Version != maxConfigHistory+1 || h.contains(1) || !h.contains(2) {
		t.Fatalf("newest version %d, version 1 kept: %v, version 2 kept: %v",
			newest.Version, h.contains(1), h.contains(2))
	}
	for _, c := range []struct {
		name     string
		base     uint64
		asDelta  bool
		wantBase uint64
	}{
		{"base is kept", 2, true, 2},
		{"base is not kept", 1, true, 0},
		{"full configuration requested", 2, false, 0},
	} {
		delta := h.delta(newest, c.base, c.asDelta)
		config, err := delta.Apply(c.base, configOf(c.base))
		if delta.BaseVersion != c.wantBase || err != nil || !bytes.Equal(config, newest.Config) {
			t.Errorf("%s: base %d, configuration %q, error %v", c.name, delta.BaseVersion, config, err)
		}
		if h.delta(newest, c.base, c.asDelta) != delta {
			t.Errorf("%s: computed twice", c.name)
		}
	}
	cached := h.delta(newest, 2, true)
	if h.clearDeltas(); h.delta(newest, 2, true) == cached {
		t.Error("a cached delta is still used after clearDeltas")
	}
}
