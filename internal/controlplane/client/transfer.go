package client

import "dunespoke/internal/controlplane/message"

// A long snapshot comes in parts. Its bytes are one thing, and the word that it is the newest another: bytes
// are kept whenever they come, whoever sent them, since they are named by a digest; and what they are put
// together to comes into force by an answer to the present question alone, which names it as the newest.

const (
	// mostTransfer bounds what is kept of one. A list of 47,000 servers has 2.6 MB.
	mostTransfer = 2 * message.MaxFrame
	// mostPassed is how many late parts of others, in a row, a transfer outlives: nobody goes on with it.
	mostPassed = 8
)

// transfer is a snapshot on its way.
type transfer struct {
	of     message.Part // without bytes
	got    []byte
	passed int // late parts of others since the last that was of use
}

func (t *transfer) whole() bool { return uint64(len(t.got)) == t.of.Size }

// transfers are those of all tables.
type transfers map[message.Table]*transfer

// merge takes what a part brings, and returns its transfer; nil: it is of no use. A part that answers an
// earlier question starts nothing anew while something else goes on.
func (ts transfers) merge(p *message.Part, late bool) *transfer {
	t := ts[p.Table]
	if t == nil || t.of.Digest != p.Digest || t.of.Size != p.Size {
		if p.Size > mostTransfer {
			return nil
		}
		if t != nil && late {
			if t.passed++; t.passed < mostPassed {
				return nil
			}
		}
		of := *p
		of.From, of.Bytes, of.Stale = 0, nil, false
		t = &transfer{of: of}
		ts[p.Table] = t
	}
	have := uint64(len(t.got))
	if end := p.From + uint64(len(p.Bytes)); p.From <= have && end > have && end <= p.Size {
		t.got = append(t.got, p.Bytes[have-p.From:]...)
		t.passed = 0
	}
	return t
}

// held tells what is there, for a question.
func (ts transfers) held() (list []message.Part) {
	for table := message.ConfigTable; table <= message.MemberTable; table++ {
		if t := ts[table]; t != nil {
			p := t.of
			p.From = uint64(len(t.got))
			list = append(list, p)
		}
	}
	return list
}

// open reads a snapshot that is whole.
func (t *transfer) open() (*message.Message, bool) {
	m := new(message.Message)
	if message.Digest(t.got) != t.of.Digest || message.Decode(t.got, m) != nil {
		return nil, false
	}
	return m, true
}

// mix spreads a number over all numbers: what differs by a little goes far apart. (splitmix64)
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
