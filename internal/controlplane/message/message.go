// Package message holds what the system's processes say to each other, and its form in bytes: protobuf's wire
// format, by the field numbers in the tags, in frames that begin with their length. It knows no sockets.
//
// Each type of message has a struct of its own, its body. On the wire a message is one protobuf message whose
// fields are those of the header and of the body together; a field number means the same in all bodies.
// Numbers are never used again, and fields that a reader doesn't know are skipped, so that two versions of
// the program can serve side by side.
package message

// Message is one message: a header that the transport and the node read, and a body that depends on the type.
type Message struct {
	// RequestID ties a response to its request; 0 in messages that are neither, and in responses that repeat an
	// epoch instead.
	RequestID uint64 `pb:"2"`
	// Incarnation is that of the process that asked, in a request and again in its responses: a process that was
	// restarted counts its requests from the beginning, and must not take answers meant for its predecessor.
	Incarnation uint64 `pb:"40"`
	Body        Body
}

// Body is what a message of one type carries. Fields that are empty take no bytes.
type Body interface {
	// Type returns the type that says on the wire which body follows.
	Type() Type
}

// Type returns the type of the message's body; 0 without a body.
func (m *Message) Type() Type {
	if m.Body == nil {
		return 0
	}
	return m.Body.Type()
}

// Reply returns the response to a request: it repeats the request's id and incarnation.
func (m *Message) Reply(body Body) *Message {
	return &Message{RequestID: m.RequestID, Incarnation: m.Incarnation, Body: body}
}

// IsRequest reports whether a message expects a response.
func (m *Message) IsRequest() bool { return len(ResponseTypes[m.Type()]) > 0 }

// IsResponse reports whether a message answers a request. Committed without a request id does not: the tail
// of the chain tells it to the others.
func (m *Message) IsResponse() bool {
	return isResponse[m.Type()] && (m.Type() != TypeCommitted || m.RequestID != 0)
}
