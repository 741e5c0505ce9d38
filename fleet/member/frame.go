package member

import (
	"encoding/binary"
	"errors"
)

// frame is a message with its sender's name, the sender's incarnation, and the sequence number of the
// message within that incarnation.
type frame struct {
	from     string
	life     uint64
	sequence uint64
	data     []byte
}

// append appends the encoded frame to b.
func (f frame) append(b []byte) []byte {
	b = append(b, byte(len(f.from)))
	b = append(b, f.from...)
	b = binary.BigEndian.AppendUint64(b, f.life)
	b = binary.BigEndian.AppendUint64(b, f.sequence)
	return append(b, f.data...)
}

var errTruncated = errors.New("message truncated")

// readFrame decodes a frame. Its data shares memory with b.
func readFrame(b []byte) (frame, error) {
	if len(b) < 1 || len(b) < 1+int(b[0])+16 {
		return frame{}, errTruncated
	}
	n := 1 + int(b[0])
	return frame{string(b[1:n]), binary.BigEndian.Uint64(b[n:]), binary.BigEndian.Uint64(b[n+8:]), b[n+16:]}, nil
}

// window detects replayed messages as in RFC 4303, section 3.4.3. It covers the 64 highest sequence
// numbers.
type window struct {
	highest uint64
	bits    uint64 // bit i is set if sequence number highest-i was received
}

// accept reports whether number n is new and within the window, and marks it as received. Numbers start at
// 1; a nil window accepts nothing.
func (w *window) accept(n uint64) bool {
	switch {
	case w == nil || n == 0:
		return false
	case n > w.highest:
		if shift := n - w.highest; shift < 64 {
			w.bits <<= shift
		} else {
			w.bits = 0
		}
		w.highest = n
		w.bits |= 1
		return true
	case w.highest-n >= 64:
		return false
	}
	bit := uint64(1) << (w.highest - n)
	if w.bits&bit != 0 {
		return false
	}
	w.bits |= bit
	return true
}
