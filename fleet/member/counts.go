package member

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Counts counts messages between members since the start. The library's own protocol messages are included
// only in Forged and Malformed.
type Counts struct {
	In        int64 `json:"in"`
	BytesIn   int64 `json:"bytes_in"`
	Out       int64 `json:"out"`
	BytesOut  int64 `json:"bytes_out"`
	Unsent    int64 `json:"unsent"`    // receiver unknown, connection limit reached, or sending failed
	Forged    int64 `json:"forged"`    // not encrypted with any of the keys
	Replayed  int64 `json:"replayed"`  // duplicate, or from an earlier incarnation or an unknown member
	Malformed int64 `json:"malformed"` // can't be decoded
}

// Counts returns the present counts.
func (m *Members) Counts() Counts {
	c := &m.counts
	return Counts{c.in.Load(), c.bytesIn.Load(), c.out.Load(), c.bytesOut.Load(), c.unsent.Load(),
		c.forged.Load(), c.replayed.Load(), c.malformed.Load()}
}

// counts holds the counters of Counts. It also receives the log lines of the library, which reports invalid
// messages in no other way.
type counts struct {
	in, bytesIn, out, bytesOut, unsent, forged, replayed, malformed atomic.Int64

	log  zerolog.Logger
	mu   sync.Mutex
	last map[string]time.Time // when a line was last logged, by code
}

// logInterval is the minimum time between two log lines of one code, so that a sender of invalid messages
// can't fill the log.
const logInterval = 10 * time.Second

// Parts of the library's log lines about messages that it drops.
var (
	forgedPatterns = [][]byte{[]byte("Decrypt packet failed"), []byte("failed to receive:"),
		[]byte("No installed keys could decrypt")}
	malformedPatterns = [][]byte{[]byte("ailed to decode"), []byte("not supported"), []byte("nvalid msgType"),
		[]byte("truncated"), []byte("invalid checksum"), []byte("label"), []byte("missing message type")}
)

// Write counts and logs a log line of the library. It never returns an error.
func (c *counts) Write(line []byte) (int, error) {
	containsAny := func(patterns [][]byte) bool {
		for _, p := range patterns {
			if bytes.Contains(line, p) {
				return true
			}
		}
		return false
	}
	switch {
	case containsAny(forgedPatterns):
		c.forged.Add(1)
		c.logLimited("fleet-forged", line)
	case containsAny(malformedPatterns):
		c.malformed.Add(1)
		c.logLimited("fleet-malformed", line)
	case bytes.HasPrefix(line, []byte("[ERR]")):
		c.logLimited("fleet-member", line)
	}
	return len(line), nil
}

// logLimited logs a line of the library, at most once per code and logInterval.
func (c *counts) logLimited(code string, line []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = map[string]time.Time{}
	}
	if now := time.Now(); now.Sub(c.last[code]) > logInterval {
		c.last[code] = now
		c.log.Warn().Str("code", code).Str("says", string(bytes.TrimSpace(line))).Msg("membership")
	}
}
