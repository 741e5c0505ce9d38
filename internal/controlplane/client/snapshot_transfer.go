package client

import "dunespoke/internal/controlplane/message"

// A long snapshot comes in parts. Its bytes are one thing, and the word that it is the newest another: bytes
// are kept whenever they come, whoever sent them, since they are named by a digest; and what they are put
// together to comes into force by an answer to the present question alone, which names it as the newest.

const (
	// maxTransferSize bounds what is kept of one. A list of 47,000 servers has 2.6 MB.
	maxTransferSize = 2 * message.MaxFrameSize
	// maxIgnoredChunks is how many late parts of others, in a row, a transfer outlives: nobody goes on with it.
	maxIgnoredChunks = 8
)

// snapshotTransfer is a snapshot on its way.
type snapshotTransfer struct {
	header  message.SnapshotChunk // without bytes
	data    []byte
	ignored int // late parts of others since the last that was of use
}

func (t *snapshotTransfer) complete() bool { return uint64(len(t.data)) == t.header.TotalSize }

// snapshotTransfers are those of all tables.
type snapshotTransfers map[message.Resource]*snapshotTransfer

// merge takes what a part brings, and returns its transfer; nil: it is of no use. A part that answers an
// earlier question starts nothing anew while something else goes on.
func (ts snapshotTransfers) merge(p *message.SnapshotChunk, late bool) *snapshotTransfer {
	t := ts[p.Resource]
	if t == nil || t.header.Checksum != p.Checksum || t.header.TotalSize != p.TotalSize {
		if p.TotalSize > maxTransferSize {
			return nil
		}
		if t != nil && late {
			if t.ignored++; t.ignored < maxIgnoredChunks {
				return nil
			}
		}
		of := *p
		of.Offset, of.Data, of.Stale = 0, nil, false
		t = &snapshotTransfer{header: of}
		ts[p.Resource] = t
	}
	have := uint64(len(t.data))
	if end := p.Offset + uint64(len(p.Data)); p.Offset <= have && end > have && end <= p.TotalSize {
		t.data = append(t.data, p.Data[have-p.Offset:]...)
		t.ignored = 0
	}
	return t
}

// progress tells what is there, for a question.
func (ts snapshotTransfers) progress() (list []message.SnapshotChunk) {
	for table := message.ResourceConfig; table <= message.ResourceNodes; table++ {
		if t := ts[table]; t != nil {
			p := t.header
			p.Offset = uint64(len(t.data))
			list = append(list, p)
		}
	}
	return list
}

// decode reads a snapshot that is whole.
func (t *snapshotTransfer) decode() (*message.Message, bool) {
	m := new(message.Message)
	if message.Checksum(t.data) != t.header.Checksum || message.Unmarshal(t.data, m) != nil {
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
