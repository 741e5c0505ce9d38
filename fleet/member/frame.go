package member

import (
	"encoding/binary"
	"errors"
)

// frame is a message with who sent it: a member's name, its life, and the message's number in that life.
type frame struct {
	from   string
	life   uint64
	number uint64
	data   []byte
}

func (f frame) append(b []byte) []byte {
	b = append(b, byte(len(f.from)))
	b = append(b, f.from...)
	b = binary.BigEndian.AppendUint64(b, f.life)
	b = binary.BigEndian.AppendUint64(b, f.number)
	return append(b, f.data...)
}

var errFrame = errors.New("message cut short")

func readFrame(b []byte) (frame, error) {
	if len(b) < 1 || len(b) < 1+int(b[0])+16 {
		return frame{}, errFrame
	}
	n := 1 + int(b[0])
	return frame{string(b[1:n]), binary.BigEndian.Uint64(b[n:]), binary.BigEndian.Uint64(b[n+8:]), b[n+16:]}, nil
}

// window tells a message that comes a second time: RFC 4303, 3.4.3, with 64 numbers behind the highest.
type window struct {
	high uint64
	bits uint64 // bit i: high-i has come
}

func (w *window) take(n uint64) bool {
	switch {
	case w == nil || n == 0:
		return false
	case n > w.high:
		if shift := n - w.high; shift < 64 {
			w.bits <<= shift
		} else {
			w.bits = 0
		}
		w.high = n
		w.bits |= 1
		return true
	case w.high-n >= 64:
		return false
	}
	bit := uint64(1) << (w.high - n)
	if w.bits&bit != 0 {
		return false
	}
	w.bits |= bit
	return true
}
