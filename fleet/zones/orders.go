package zones

import (
	"maps"
	"slices"
	"time"
)

// Orders are staff's, decided in common like the table, and kept apart from it: what staff have said, no
// evidence takes back. Times are Unix milliseconds.
type Orders struct {
	Evacuate map[string]int64 `json:"evacuate,omitempty"` // zones that get nothing new, until then
	Hold     int64            `json:"hold,omitempty"`     // the table stays as it is until then
}

// Evacuated are the zones that are to be left alone now, from everywhere.
func (o *Orders) Evacuated(now time.Duration) []string {
	var all []string
	for _, zone := range slices.Sorted(maps.Keys(o.Evacuate)) {
		if now.Milliseconds() < o.Evacuate[zone] {
			all = append(all, zone)
		}
	}
	return all
}

// Held reports whether the table is to stay as it is.
func (o *Orders) Held(now time.Duration) bool { return now.Milliseconds() < o.Hold }

// With returns the orders with a zone evacuated until a time; what has run out is dropped.
func (o *Orders) With(now time.Duration, zone string, until time.Duration) *Orders {
	next := &Orders{Evacuate: map[string]int64{}, Hold: o.Hold}
	for _, z := range o.Evacuated(now) {
		next.Evacuate[z] = o.Evacuate[z]
	}
	next.Evacuate[zone] = until.Milliseconds()
	return next
}

// Without returns the orders with a zone released; "" releases all, and the table.
func (o *Orders) Without(now time.Duration, zone string) *Orders {
	if zone == "" {
		return &Orders{}
	}
	next := o.With(now, zone, 0)
	delete(next.Evacuate, zone)
	return next
}
