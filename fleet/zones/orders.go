package zones

import (
	"maps"
	"slices"
	"time"
)

// Orders are the operators' orders. They are agreed on like the table, but kept separately, so that no
// observation can revoke them. Times are Unix milliseconds.
type Orders struct {
	Evacuate map[string]int64 `json:"evacuate,omitempty"` // zones that get no new requests, and until when
	Hold     int64            `json:"hold,omitempty"`     // until when the table must not change
}

// Evacuated returns the zones that no ingress may send new requests to now.
func (o *Orders) Evacuated(now time.Duration) []string {
	var all []string
	for _, zone := range slices.Sorted(maps.Keys(o.Evacuate)) {
		if now.Milliseconds() < o.Evacuate[zone] {
			all = append(all, zone)
		}
	}
	return all
}

// Held reports whether the table must not change now.
func (o *Orders) Held(now time.Duration) bool { return now.Milliseconds() < o.Hold }

// With returns a copy of the orders in which a zone is evacuated until the given time. Expired evacuations
// are dropped.
func (o *Orders) With(now time.Duration, zone string, until time.Duration) *Orders {
	next := &Orders{Evacuate: map[string]int64{}, Hold: o.Hold}
	for _, z := range o.Evacuated(now) {
		next.Evacuate[z] = o.Evacuate[z]
	}
	next.Evacuate[zone] = until.Milliseconds()
	return next
}

// Without returns a copy of the orders in which a zone is released. An empty zone releases all zones and
// the table.
func (o *Orders) Without(now time.Duration, zone string) *Orders {
	if zone == "" {
		return &Orders{}
	}
	next := o.With(now, zone, 0)
	delete(next.Evacuate, zone)
	return next
}
