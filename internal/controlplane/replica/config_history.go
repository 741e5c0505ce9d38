package replica

import (
	"slices"

	"dunespoke/internal/controlplane/message"
)

// maxConfigHistory is how many committed configurations are kept as bases of deltas to newer ones.
const maxConfigHistory = 4

// deltaKey identifies a delta by its version and the version of its base; base 0 means the full
// configuration.
type deltaKey struct{ version, base uint64 }

// configHistory stores the configurations that were committed last and caches the deltas between them, so
// that each delta is computed once for all readers.
type configHistory struct {
	committed []message.ConfigVersion // in ascending order
	deltas    map[deltaKey]*message.Delta
}

func newConfigHistory() configHistory {
	return configHistory{deltas: map[deltaKey]*message.Delta{}}
}

// add adds a committed configuration, unless it is already the newest one.
func (h *configHistory) add(c message.ConfigVersion) {
	if h.newest() == c.Version && len(h.committed) > 0 {
		return
	}
	h.committed = append(h.committed, c)
	if len(h.committed) > maxConfigHistory {
		h.committed = h.committed[1:]
	}
	h.clearDeltas()
}

// clearDeltas drops all deltas, because they may have been computed from another value of the same version.
func (h *configHistory) clearDeltas() { clear(h.deltas) }

// newest returns the version that was committed last; 0 if there is none.
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

// contains reports whether the configuration of a version is kept.
func (h *configHistory) contains(version uint64) bool {
	_, ok := h.find(version)
	return ok
}

// delta returns a configuration as a delta to a base version, if asDelta is set and the base is kept, or else
// in full.
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
