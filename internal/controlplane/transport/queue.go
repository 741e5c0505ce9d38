package transport

import (
	"encoding/binary"

	"dunespoke/internal/controlplane/message"
)

// Limits of a peer's send queue.
const (
	maxQueuedBytes   = 2 * message.MaxFrameSize
	maxUrgentBytes   = 64 << 10 // heartbeats beyond this are outdated before the connection accepts them
	maxRecycledBytes = 16 << 10 // maximum capacity of a buffer that is kept for later frames
)

// sendQueue contains the frames that are waiting to be sent to a peer. Heartbeats are sent first, so that a
// long configuration in the queue does not delay them and make this process appear failed. It is not safe
// for concurrent use.
type sendQueue struct {
	urgent   []byte
	ordinary []byte
}

// push appends a message, or drops it if its part of the queue is over the limit. It reports whether the
// message was queued.
func (q *sendQueue) push(m *message.Message) bool {
	queue, limit := &q.ordinary, maxQueuedBytes
	if m.Type() == message.TypeHeartbeat {
		queue, limit = &q.urgent, maxUrgentBytes
	}
	if len(*queue) > limit {
		return false
	}
	*queue = message.AppendFrame(*queue, m)
	return true
}

// empty reports whether the queue has no frames.
func (q *sendQueue) empty() bool { return len(q.urgent)+len(q.ordinary) == 0 }

// clear drops all queued frames.
func (q *sendQueue) clear() { *q = sendQueue{} }

// pop removes and returns the next frames. It returns complete frames only: all urgent ones if there are
// any, or else as many ordinary ones as fit into maxWriteSize, or a single longer one.
func (q *sendQueue) pop() (frames []byte) {
	if len(q.urgent) > 0 {
		frames, q.urgent = q.urgent, nil
		return frames
	}
	size := 0
	for size < len(q.ordinary) {
		end := size + message.FrameHeaderSize + int(binary.BigEndian.Uint32(q.ordinary[size:]))
		if size > 0 && end > maxWriteSize {
			break
		}
		size = end
	}
	frames, q.ordinary = q.ordinary[:size], q.ordinary[size:]
	if len(q.ordinary) == 0 {
		q.ordinary = nil
	}
	return frames
}

// recycle reuses the buffer of sent frames for later ones, if it is small.
func (q *sendQueue) recycle(frames []byte) {
	if q.ordinary == nil && cap(frames) <= maxRecycledBytes {
		q.ordinary = frames[:0]
	}
}
