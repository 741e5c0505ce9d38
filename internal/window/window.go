// Package window divides time into windows of equal length, whose indexes name the counts of quotas. Gateways
// whose clocks agree compute the same windows without communicating.
package window

import (
	"math"
	"time"
)

// Window is one window of a customer.
type Window struct {
	Index  int64
	Length float64       // in seconds
	Left   time.Duration // until the next window begins
}

// At returns the window of a customer that contains the time now; length is the length of windows in seconds.
// The windows of different customers begin at different times, so that their quotas are not all renewed at
// once.
func At(customer uint64, length float64, now time.Duration) Window {
	phase := float64(customer*0x9e3779b97f4a7c15>>40) / (1 << 24)
	position := now.Seconds()/length + phase
	index := math.Floor(position)
	return Window{int64(index), length, time.Duration((1 - (position - index)) * length * float64(time.Second))}
}

// Keep returns how long a counter keeps the count of a window after its first addition: past the end of the
// next window, for additions that arrive late, but at most one minute.
func (w Window) Keep() time.Duration {
	return min(time.Duration((2*w.Length+1)*float64(time.Second)), time.Minute)
}
