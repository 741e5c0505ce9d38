package replica

import (
	"slices"

	"dunespoke/internal/controlplane/message"
)

// maxConfigHistory is how many committed configurations are kept, to tell newer ones as deltas over them.
const maxConfigHistory = 4

// deltaKey names a delta by its version and the base; base 0: in full.
type deltaKey struct{ version, base uint64 }

// configHistory is the configurations that were committed last, and the deltas between them, each made once
// for all who ask for the same.
type configHistory struct {
	committed []message.ConfigVersion // in rising order
	deltas    map[deltaKey]*message.Delta
}

func newConfigHistory() configHistory {
	return configHistory{deltas: map[deltaKey]*message.Delta{}}
}

// add takes a configuration that was committed.
func (h *configHistory) add(c message.ConfigVersion) {
	if h.newest() == c.Version && len(h.committed) > 0 {
		return
	}
	h.committed = append(h.committed, c)
	if len(h.committed) > maxConfigHistory {
		h.committed = h.committed[1:]
	}
	h.forgetDeltas()
}

// forgetDeltas drops deltas that may be of another value under the same version.
func (h *configHistory) forgetDeltas() { clear(h.deltas) }

// newest is the version that was committed last; 0: none.
func (h *configHistory) newest() uint64 {
	if len(h.committed) == 0 {
		return 0
	}
	return h.committed[len(h.committed)-1].Version
}

// find returns the configuration of a version, if it is kept.
func (h *configHistory) find(version uint64) (c message.ConfigVersion, ok bool) {
	i := slices.IndexFunc(h.committed, func(c message.ConfigVersion) bool { return c.Version == version })
	if i < 0 {
		return message.ConfigVersion{}, false
	}
	return h.committed[i], true
}

// contains reports whether a version is kept.
func (h *configHistory) contains(version uint64) bool {
	_, ok := h.find(version)
	return ok
}

// delta returns a configuration as a delta over a version, if that is wanted and kept; else in full.
func (h *configHistory) delta(c message.ConfigVersion, base uint64, asDelta bool) *message.Delta {
	older, known := h.find(base)
	if !known || !asDelta {
		base, older = 0, message.ConfigVersion{}
	}
	key := deltaKey{c.Version, base}
	if delta := h.deltas[key]; delta != nil {
		return delta
	}
	if len(h.deltas) >= 2*maxConfigHistory {
		clear(h.deltas)
	}
	delta := message.NewDelta(c.Config, base, older.Config)
	h.deltas[key] = delta
	return delta
}
