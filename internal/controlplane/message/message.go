// Package message defines the messages that the system's processes exchange, and their encoding: the
// protobuf wire format, with the field numbers in the struct tags, in length-prefixed frames. It does no
// network I/O.
//
// Each type of message has its own body struct. On the wire a message is one protobuf message with the
// fields of both the header and the body, and a field number has the same meaning in all bodies. Field
// numbers are never reused, and readers skip unknown fields, so that two versions of the program can serve
// side by side.
package message

// Message consists of a header, which the transport and the node read, and a body, which depends on the
// type.
type Message struct {
	// RequestID correlates a response with its request. It is 0 in messages that are neither, and in responses
	// that repeat the epoch of the request instead.
	RequestID uint64 `pb:"2"`
	// Incarnation is that of the requesting process, both in a request and in its responses. A restarted
	// process numbers its requests from the beginning and must not accept responses to its previous
	// incarnation.
	Incarnation uint64 `pb:"40"`
	Body        Body
}

// Body is the part of a message that depends on its type. Empty fields take no bytes.
type Body interface {
	// Type returns the type that identifies the body on the wire.
	Type() Type
}

// Type returns the type of the message's body, or 0 if it has none.
func (m *Message) Type() Type {
	if m.Body == nil {
		return 0
	}
	return m.Body.Type()
}

// Reply returns a response to m, with the same request id and incarnation.
func (m *Message) Reply(body Body) *Message {
	return &Message{RequestID: m.RequestID, Incarnation: m.Incarnation, Body: body}
}

// IsRequest reports whether a message expects a response.
func (m *Message) IsRequest() bool { return len(ResponseTypes[m.Type()]) > 0 }

// IsResponse reports whether a message is the response to a request. Committed without a request id is not:
// the tail of the chain sends it to the other replicas.
func (m *Message) IsResponse() bool {
	return isResponse[m.Type()] && (m.Type() != TypeCommitted || m.RequestID != 0)
}
