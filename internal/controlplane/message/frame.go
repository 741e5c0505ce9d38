package message

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxFrameSize is the maximum size of a frame in bytes, without its header. Configurations are the largest
// messages.
const MaxFrameSize = 8 << 20

// FrameHeaderSize is the size of a frame's header in bytes. The header is the length of the message, as a
// big-endian number.
const FrameHeaderSize = 4

// Errors of reading frames.
var (
	// ErrFrameTooLong is returned for a frame longer than MaxFrameSize.
	ErrFrameTooLong = errors.New("message: frame exceeds the maximum size")
	// ErrMalformed is returned for a frame whose content cannot be decoded.
	ErrMalformed = errors.New("message: malformed message")
)

// AppendFrame appends a message, encoded as a frame, to buf and returns the extended buffer.
func AppendFrame(buf []byte, m *Message) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, FrameHeaderSize)...)
	buf = MarshalAppend(buf, m)
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-FrameHeaderSize))
	return buf
}

// FrameDecoder splits a byte stream into messages. It is not safe for concurrent use.
type FrameDecoder struct{ buf []byte }

// Feed appends received bytes to the stream. Frames may be split at any byte.
func (d *FrameDecoder) Feed(p []byte) { d.buf = append(d.buf, p...) }

// Empty reports whether no received bytes are left to decode.
func (d *FrameDecoder) Empty() bool { return len(d.buf) == 0 }

// Next returns the next message, or nil if more bytes are needed. After an error the stream cannot be
// decoded further.
func (d *FrameDecoder) Next() (*Message, error) {
	if len(d.buf) < FrameHeaderSize {
		return nil, nil
	}
	n := int(binary.BigEndian.Uint32(d.buf))
	if n > MaxFrameSize {
		return nil, ErrFrameTooLong
	}
	end := FrameHeaderSize + n
	if len(d.buf) < end {
		return nil, nil
	}
	m := new(Message)
	if err := Unmarshal(d.buf[FrameHeaderSize:end], m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if d.buf = d.buf[end:]; len(d.buf) == 0 {
		d.buf = nil
	}
	return m, nil
}
