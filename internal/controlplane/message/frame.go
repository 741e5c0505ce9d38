package message

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxFrameSize is the most bytes that a frame may have. A configuration is the largest thing that is sent.
const MaxFrameSize = 8 << 20

// FrameHeaderSize is the length of a frame's length, in bytes: a big-endian number.
const FrameHeaderSize = 4

// Errors of reading frames.
var (
	ErrFrameTooLong = errors.New("message: frame longer than any message")
	ErrMalformed    = errors.New("message: malformed message")
)

// AppendFrame writes a message behind buf, as a frame.
func AppendFrame(buf []byte, m *Message) []byte {
	at := len(buf)
	buf = append(buf, make([]byte, FrameHeaderSize)...)
	buf = MarshalAppend(buf, m)
	binary.BigEndian.PutUint32(buf[at:], uint32(len(buf)-at-FrameHeaderSize))
	return buf
}

// FrameDecoder cuts a stream of bytes into messages.
type FrameDecoder struct{ buf []byte }

// Feed takes bytes as they came.
func (d *FrameDecoder) Feed(p []byte) { d.buf = append(d.buf, p...) }

// Empty reports whether no part of a message waits for the rest.
func (d *FrameDecoder) Empty() bool { return len(d.buf) == 0 }

// Next returns the next message, or nil if more bytes are needed. After an error the stream can't be read on.
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
