package transport

import (
	"slices"
	"testing"

	"dunespoke/internal/controlplane/message"
)

// A heartbeat is sent before a long configuration and short messages that were queued earlier. The other
// messages keep their order, and all frames are sent completely.
func TestHeartbeatsAreSentFirst(t *testing.T) {
	var q sendQueue
	longMessage := &message.Message{RequestID: 1, Body: &message.WatchResponse{
		Config: &message.Delta{Raw: make([]byte, 3*maxWriteSize)}}}
	q.push(&message.Message{RequestID: 2, Body: &message.Watch{}})
	q.push(longMessage)
	q.push(&message.Message{RequestID: 3, Body: &message.Watch{}})
	q.push(&message.Message{RequestID: 4, Body: &message.Heartbeat{}})
	var order []uint64
	for !q.empty() {
		var decoder message.FrameDecoder
		frames := q.pop()
		decoder.Feed(frames)
		for {
			m, err := decoder.Next()
			if err != nil {
				t.Fatal(err)
			}
			if m == nil {
				break
			}
			order = append(order, m.RequestID)
		}
		if !decoder.Empty() {
			t.Error("pop returned an incomplete frame")
		}
		q.recycle(frames)
	}
	if want := []uint64{4, 2, 1, 3}; !slices.Equal(order, want) {
		t.Errorf("sent %v, want %v", order, want)
	}
}
