package message

import (
	"bytes"
	"compress/flate"
	"errors"
	"hash/fnv"
	"io"
)

// compressThreshold is the length in bytes from which compression is worth its CPU time.
const compressThreshold = 2 << 10

// Errors of applying a delta.
var (
	// ErrUnknownBase is returned for a delta whose base is not the version that the receiver has.
	ErrUnknownBase = errors.New("message: delta over an unknown base")
	// ErrDigestMismatch is returned for a delta that is malformed or yields a text with another checksum.
	ErrDigestMismatch = errors.New("message: digest mismatch")
)

// Delta is the form in which a text is sent: as a patch over a base that the receiver has, if such a base is
// known, or else in full, and compressed if it is long. Links may be as slow as 0.25 MB/s, and a
// configuration may be longer than what such a link carries in a second.
type Delta struct {
	BaseVersion uint64 `pb:"1"` // version of the text that the patch applies to; 0: the delta is the full text
	Checksum    uint64 `pb:"2"` // of the full text; 0 in an empty Delta
	Raw         []byte `pb:"3"` // the full text or an encoded patch, unless compressed
	Compressed  []byte `pb:"4"` // the same, compressed with DEFLATE
}

// Checksum returns the 64-bit FNV-1a hash of a text, with 0 replaced by 1. It protects against applying a
// delta to a wrong base, not against an adversary.
func Checksum(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return max(1, h.Sum64())
}

// NewDelta returns a text as a delta over an older text, base. The delta contains the full text if
// baseVersion is 0 or base is empty.
func NewDelta(text []byte, baseVersion uint64, base []byte) *Delta {
	if baseVersion == 0 || len(base) == 0 {
		return compressIfLong(&Delta{Checksum: Checksum(text), Raw: text})
	}
	return newPatchDelta(text, baseVersion, diff(base, text))
}

// newPatchDelta returns the delta that contains p, which must yield text when applied to the base.
func newPatchDelta(text []byte, baseVersion uint64, p *patch) *Delta {
	return compressIfLong(&Delta{BaseVersion: baseVersion, Checksum: Checksum(text), Raw: MarshalAppend(nil, p)})
}

// compressIfLong compresses the content of a delta if it has at least compressThreshold bytes. It returns d.
func compressIfLong(d *Delta) *Delta {
	if len(d.Raw) < compressThreshold {
		return d
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return d
	}
	if _, err := w.Write(d.Raw); err != nil {
		return d
	}
	if err := w.Close(); err != nil {
		return d
	}
	d.Raw, d.Compressed = nil, b.Bytes()
	return d
}

// Apply returns the full text, given the receiver's version and its text, base. The error is ErrUnknownBase
// if the delta is over another version, and ErrDigestMismatch if the delta is malformed or the result has
// another checksum. After ErrDigestMismatch the receiver must request the full text.
func (d *Delta) Apply(baseVersion uint64, base []byte) ([]byte, error) {
	raw := d.Raw
	if len(d.Compressed) > 0 {
		var err error
		raw, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.Compressed)), MaxFrameSize))
		if err != nil {
			return nil, ErrDigestMismatch
		}
	}
	if d.BaseVersion != 0 {
		if d.BaseVersion != baseVersion {
			return nil, ErrUnknownBase
		}
		var p patch
		if Unmarshal(raw, &p) != nil {
			return nil, ErrDigestMismatch
		}
		var err error
		if raw, err = p.apply(base); err != nil {
			return nil, err
		}
	}
	if Checksum(raw) != d.Checksum {
		return nil, ErrDigestMismatch
	}
	return raw, nil
}

// patch describes how to build a text from a base: copied and literal segments, in order.
type patch struct {
	Segments []segment `pb:"1"`
}

// segment is a range of the base, or a literal.
type segment struct {
	Offset  uint64 `pb:"1"` // of the range, in the base
	Length  uint64 `pb:"2"` // of the range; 0: the segment is Literal
	Literal []byte `pb:"3"`
}

// apply builds the text from base. To bound memory, it returns ErrDigestMismatch if a range is copied when
// the text is already longer than MaxFrameSize; it returns the same error for a range outside base.
func (p *patch) apply(base []byte) (text []byte, err error) {
	for _, s := range p.Segments {
		switch {
		case s.Length == 0:
			text = append(text, s.Literal...)
		case s.Offset > uint64(len(base)), s.Length > uint64(len(base))-s.Offset, len(text) > MaxFrameSize:
			return nil, ErrDigestMismatch
		default:
			text = append(text, base[s.Offset:s.Offset+s.Length]...)
		}
	}
	return text, nil
}

// add appends a part to the patch: as a range of the base if found is true, with offset as its start, or
// else as a literal. Adjacent segments are merged.
func (p *patch) add(offset uint64, found bool, part []byte) {
	var last *segment
	if n := len(p.Segments); n > 0 {
		last = &p.Segments[n-1]
	}
	switch {
	case found && last != nil && last.Length > 0 && last.Offset+last.Length == offset:
		last.Length += uint64(len(part))
	case found:
		p.Segments = append(p.Segments, segment{Offset: offset, Length: uint64(len(part))})
	case last != nil && last.Length == 0:
		last.Literal = append(last.Literal, part...)
	default:
		p.Segments = append(p.Segments, segment{Literal: bytes.Clone(part)})
	}
}

// itemPrefix is the start of each item of a configuration, where texts are split. A text in which it does
// not occur is treated as a single item, so a changed one is sent in full.
var itemPrefix = []byte(`{"item_kind"`)

// forEachItem splits a text into items and calls visit with each and its offset, in order.
func forEachItem(text []byte, visit func(offset int, item []byte)) {
	offset := 0
	for offset < len(text) {
		end := len(text)
		if next := bytes.Index(text[offset+1:], itemPrefix); next >= 0 {
			end = offset + 1 + next
		}
		visit(offset, text[offset:end])
		offset = end
	}
}

// diff returns a patch that yields text when applied to base. It compares whole items.
func diff(base, text []byte) *patch {
	offsets := map[string]int{}
	forEachItem(base, func(offset int, item []byte) { offsets[string(item)] = offset })
	p := &patch{}
	forEachItem(text, func(_ int, item []byte) {
		offset, found := offsets[string(item)]
		p.add(uint64(offset), found, item)
	})
	return p
}
