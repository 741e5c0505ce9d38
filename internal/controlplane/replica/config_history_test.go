package replica

import (
	"bytes"
	"dunespoke/internal/controlplane/message"
	"fmt"
	"testing"
)

// Given configurations that were committed, when one is asked for as a delta over another, then it is that
// where the base is kept, the full one elsewhere, and made once for all who ask for the same.
func TestDeltasAreMadeOnceOverWhatIsKept(t *testing.T) {
	h := newConfigHistory()
	text := func(version uint64) []byte { return fmt.Appendf(nil, "configuration %d", version) }
	for version := uint64(1); version <= maxConfigHistory+1; version++ {
		h.add(message.ConfigVersion{Version: version, Config: text(version)})
		h.add(message.ConfigVersion{Version: version, Config: text(version)}) // told twice
	}
	newest, _ := h.find(h.newest())
	if newest.Version != maxConfigHistory+1 || h.contains(1) || !h.contains(2) {
		t.Fatalf("newest %d, first kept %v, second kept %v", newest.Version, h.contains(1), h.contains(2))
	}
	for _, c := range []struct {
		name       string
		base       uint64
		asDelta    bool
		baseInForm uint64
	}{
		{"over one that is kept", 2, true, 2},
		{"over one that is not", 1, true, 0},
		{"in full", 2, false, 0},
	} {
		delta := h.delta(newest, c.base, c.asDelta)
		config, err := delta.Apply(c.base, text(c.base))
		if delta.BaseVersion != c.baseInForm || err != nil || !bytes.Equal(config, newest.Config) {
			t.Errorf("%s: over %d, %q, %v", c.name, delta.BaseVersion, config, err)
		}
		if h.delta(newest, c.base, c.asDelta) != delta {
			t.Errorf("%s: made twice", c.name)
		}
	}
	kept := h.delta(newest, 2, true)
	if h.forgetDeltas(); h.delta(newest, 2, true) == kept {
		t.Error("a delta outlives the value that it was made of")
	}
}
