package transport

import (
	"encoding/binary"

	"dunespoke/internal/controlplane/message"
)

// Bounds of what waits to be sent to a peer.
const (
	maxQueuedBytes = 2 * message.MaxFrameSize
	maxUrgentBytes = 64 << 10 // heartbeats that a connection doesn't take are old by then
	maxSpareBytes  = 16 << 10 // of a buffer that is kept for the next frames
)

// sendQueue is the frames that wait to be sent to a peer. Heartbeats go before all others, so that a long
// configuration ahead of them passes for no failure.
type sendQueue struct {
	urgent   []byte
	ordinary []byte
}

// push queues a message, unless too much waits. It reports whether it did.
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

// empty reports whether nothing waits.
func (q *sendQueue) empty() bool { return len(q.urgent)+len(q.ordinary) == 0 }

// clear drops all that waits.
func (q *sendQueue) clear() { *q = sendQueue{} }

// pop takes the next frames, whole ones: all urgent ones, or else some that are one write, or a single
// longer one.
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

// recycle keeps the buffer of frames that were sent for those to come.
func (q *sendQueue) recycle(frames []byte) {
	if q.ordinary == nil && cap(frames) <= maxSpareBytes {
		q.ordinary = frames[:0]
	}
}
