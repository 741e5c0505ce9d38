package client

import "dunespoke/internal/controlplane/message"

// A long snapshot is transferred in chunks. The bytes of a snapshot are handled separately from the question
// whether it is the newest: chunks are accepted at any time and from any replica, because a checksum
// identifies their snapshot; the assembled snapshot is put in force only by a response to the current request
// that names it as the newest.

const (
	// maxTransferSize is the maximum size of a snapshot in bytes. A list of 47,000 servers takes 2.6 MB.
	maxTransferSize = 2 * message.MaxFrameSize
	// maxIgnoredChunks is the number of consecutive late chunks of other snapshots after which a transfer is
	// replaced: no replica continues it any more.
	maxIgnoredChunks = 8
)

// snapshotTransfer is a snapshot that has been received in part.
type snapshotTransfer struct {
	header        message.SnapshotChunk // without data
	data          []byte
	ignoredChunks int // late chunks of other snapshots since the last one that was appended
}

func (t *snapshotTransfer) complete() bool { return uint64(len(t.data)) == t.header.TotalSize }

// append appends the part of a chunk's data that is not received yet. It ignores a chunk that would leave a
// gap, adds nothing or exceeds the total size.
func (t *snapshotTransfer) append(chunk *message.SnapshotChunk) {
	received := uint64(len(t.data))
	end := chunk.Offset + uint64(len(chunk.Data))
	if chunk.Offset <= received && end > received && end <= chunk.TotalSize {
		t.data = append(t.data, chunk.Data[received-chunk.Offset:]...)
		t.ignoredChunks = 0
	}
}

// decode decodes a complete snapshot. It reports false if the checksum doesn't match or the data is invalid.
func (t *snapshotTransfer) decode() (*message.WatchResponse, bool) {
	snapshot := new(message.WatchResponse)
	if message.Checksum(t.data) != t.header.Checksum || message.Unmarshal(t.data, snapshot) != nil {
		return nil, false
	}
	return snapshot, true
}

// snapshotTransfers are the transfers in progress, by resource.
type snapshotTransfers map[message.Resource]*snapshotTransfer

// merge adds a chunk to the transfer of its snapshot and returns that transfer, or nil if the chunk was
// ignored. A late chunk doesn't replace the transfer of another snapshot, unless that transfer has ignored
// maxIgnoredChunks in a row.
func (ts snapshotTransfers) merge(chunk *message.SnapshotChunk, late bool) *snapshotTransfer {
	transfer := ts[chunk.Resource]
	if transfer == nil || transfer.header.Checksum != chunk.Checksum ||
		transfer.header.TotalSize != chunk.TotalSize {
		if chunk.TotalSize > maxTransferSize {
			return nil
		}
		if transfer != nil && late {
			if transfer.ignoredChunks++; transfer.ignoredChunks < maxIgnoredChunks {
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

// progress returns the received offset of each transfer, for a watch.
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
