package member

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Counts are messages between members since the start. What the membership itself sends is in none but
// Forged and Malformed.
type Counts struct {
	In        int64 `json:"in"`
	BytesIn   int64 `json:"bytes_in"`
	Out       int64 `json:"out"`
	BytesOut  int64 `json:"bytes_out"`
	Unsent    int64 `json:"unsent"`    // nobody there, or no connection free
	Forged    int64 `json:"forged"`    // not encrypted by any of the keys
	Replayed  int64 `json:"replayed"`  // a second time, or of an earlier life
	Malformed int64 `json:"malformed"` // can't be read
}

// Counts reads the counts.
func (m *Members) Counts() Counts {
	c := &m.counts
	return Counts{c.in.Load(), c.bytesIn.Load(), c.out.Load(), c.bytesOut.Load(), c.unsent.Load(),
		c.forged.Load(), c.replayed.Load(), c.malformed.Load()}
}

// counts takes the library's log lines: it tells of bad messages in no other way.
type counts struct {
	in, bytesIn, out, bytesOut, unsent, forged, replayed, malformed atomic.Int64

	log  zerolog.Logger
	mu   sync.Mutex
	last map[string]time.Time
}

// quiet is the time between two lines of one kind: whoever sends rubbish must not fill the log.
const quiet = 10 * time.Second

// What the library says of messages that it drops.
var (
	forgedSays = [][]byte{[]byte("Decrypt packet failed"), []byte("failed to receive:"),
		[]byte("No installed keys could decrypt")}
	malformedSays = [][]byte{[]byte("ailed to decode"), []byte("not supported"), []byte("nvalid msgType"),
		[]byte("truncated"), []byte("invalid checksum"), []byte("label"), []byte("missing message type")}
)

func (c *counts) Write(line []byte) (int, error) {
	has := func(says [][]byte) bool {
		for _, s := range says {
			if bytes.Contains(line, s) {
				return true
			}
		}
		return false
	}
	switch {
	case has(forgedSays):
		c.forged.Add(1)
		c.say("fleet-forged", line)
	case has(malformedSays):
		c.malformed.Add(1)
		c.say("fleet-malformed", line)
	case bytes.HasPrefix(line, []byte("[ERR]")):
		c.say("fleet-member", line)
	}
	return len(line), nil
}

func (c *counts) say(code string, line []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = map[string]time.Time{}
	}
	if now := time.Now(); now.Sub(c.last[code]) > quiet {
		c.last[code] = now
		c.log.Warn().Str("code", code).Str("says", string(bytes.TrimSpace(line))).Msg("membership")
	}
}
