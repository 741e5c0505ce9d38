package client

import "dunespoke/internal/controlplane/message"

// A long snapshot comes in chunks. Its bytes are one thing, and the word that it is the newest another: bytes
// are kept whenever they come, whoever sent them, since they are named by a checksum; and what they are put
// together to comes into force by a response to the present request alone, which names it as the newest.

const (
	// maxTransferSize bounds what is kept of one, in bytes. A list of 47,000 servers has 2.6 MB.
	maxTransferSize = 2 * message.MaxFrameSize
	// maxIgnoredChunks is how many late chunks of others, in a row, a transfer outlives: nobody goes on with it.
	maxIgnoredChunks = 8
)

// snapshotTransfer is a snapshot on its way.
type snapshotTransfer struct {
	header  message.SnapshotChunk // without data
	data    []byte
	ignored int // late chunks of others since the last that was of use
}

func (t *snapshotTransfer) complete() bool { return uint64(len(t.data)) == t.header.TotalSize }

// append takes a chunk's data, if it goes on where the data ends so far.
func (t *snapshotTransfer) append(chunk *message.SnapshotChunk) {
	held := uint64(len(t.data))
	end := chunk.Offset + uint64(len(chunk.Data))
	if chunk.Offset <= held && end > held && end <= chunk.TotalSize {
		t.data = append(t.data, chunk.Data[held-chunk.Offset:]...)
		t.ignored = 0
	}
}

// decode reads a snapshot that is complete.
func (t *snapshotTransfer) decode() (*message.WatchResponse, bool) {
	snapshot := new(message.WatchResponse)
	if message.Checksum(t.data) != t.header.Checksum || message.Unmarshal(t.data, snapshot) != nil {
		return nil, false
	}
	return snapshot, true
}

// snapshotTransfers are those of all resources.
type snapshotTransfers map[message.Resource]*snapshotTransfer

// merge takes what a chunk brings, and returns its transfer; nil: it is of no use. A chunk that answers an
// earlier request starts nothing anew while something else goes on.
func (ts snapshotTransfers) merge(chunk *message.SnapshotChunk, late bool) *snapshotTransfer {
	transfer := ts[chunk.Resource]
	if transfer == nil || transfer.header.Checksum != chunk.Checksum ||
		transfer.header.TotalSize != chunk.TotalSize {
		if chunk.TotalSize > maxTransferSize {
			return nil
		}
		if transfer != nil && late {
			if transfer.ignored++; transfer.ignored < maxIgnoredChunks {
				return nil
			}
		}
		transfer = newTransfer(chunk)
		ts[chunk.Resource] = transfer
	}
	transfer.append(chunk)
	return transfer
}

func newTransfer(chunk *message.SnapshotChunk) *snapshotTransfer {
	header := *chunk
	header.Offset, header.Data, header.Stale = 0, nil, false
	return &snapshotTransfer{header: header}
}

// progress tells how far the transfers have come, for a watch.
func (ts snapshotTransfers) progress() (list []message.SnapshotChunk) {
	for resource := message.ResourceConfig; resource <= message.ResourceNodes; resource++ {
		if transfer := ts[resource]; transfer != nil {
			chunk := transfer.header
			chunk.Offset = uint64(len(transfer.data))
			list = append(list, chunk)
		}
	}
	return list
}
