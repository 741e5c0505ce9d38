// Package window divides time into windows of equal length, by which counts are named. All gateways of one
// clock find the same windows without a word between them.
package window

import (
	"math"
	"time"
)

// Window is one of the windows of a customer.
type Window struct {
	Index  int64
	Length float64       // in seconds
	Left   time.Duration // until the next one begins
}

// At returns the window at a time of those that are so many seconds long. Different customers' begin at
// different times: else all would renew at once.
func At(id uint64, length float64, now time.Duration) Window {
	phase := float64(id*0x9e3779b97f4a7c15>>40) / (1 << 24)
	at := now.Seconds()/length + phase
	index := math.Floor(at)
	return Window{int64(index), length, time.Duration((1 - (at - index)) * length * float64(time.Second))}
}

// Keep is how long the count of a window is to be kept by a counter: some time past the end of the next one,
// for what comes late, and a minute at most.
func (w Window) Keep() time.Duration {
	return min(time.Duration((2*w.Length+1)*float64(time.Second)), time.Minute)
}
