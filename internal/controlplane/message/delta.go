package message

import (
	"bytes"
	"compress/flate"
	"errors"
	"hash/fnv"
	"io"
)

// compressThreshold is the length in bytes from which compression is worth the processor's time.
const compressThreshold = 2 << 10

// Errors of applying a delta.
var (
	ErrUnknownBase    = errors.New("message: delta over another base")
	ErrDigestMismatch = errors.New("message: digest mismatch")
)

// Delta is a text on its way: what changed since a base that the receiver has, where that is known, else the
// text in full; compressed where it is long. Links may be as slow as a quarter of a megabyte a second, and
// configurations longer than that.
type Delta struct {
	BaseVersion uint64 `pb:"1"` // the version that it is a change of; 0: it is the full text
	Checksum    uint64 `pb:"2"` // of the full text; 0: empty
	Raw         []byte `pb:"3"` // the full text, or an encoded patch
	Compressed  []byte `pb:"4"` // the same, deflated
}

// Checksum returns the 64-bit FNV-1a checksum of a text, never 0. It guards against a wrong base, not against
// an adversary.
func Checksum(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return max(1, h.Sum64())
}

// NewDelta returns a text as a delta over an older one; in full where baseVersion is 0 or base is empty.
func NewDelta(text []byte, baseVersion uint64, base []byte) *Delta {
	if baseVersion == 0 || len(base) == 0 {
		return compressed(&Delta{Checksum: Checksum(text), Raw: text})
	}
	return newPatchDelta(text, baseVersion, diff(base, text))
}

// newPatchDelta returns a text as a patch over a base.
func newPatchDelta(text []byte, baseVersion uint64, p *patch) *Delta {
	return compressed(&Delta{BaseVersion: baseVersion, Checksum: Checksum(text), Raw: MarshalAppend(nil, p)})
}

// compressed deflates what is long.
func compressed(d *Delta) *Delta {
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

// Apply returns the full text. The receiver has the base version, with the text base. The error is
// ErrUnknownBase for a delta over another version, ErrDigestMismatch if the text did not come out right: it
// is to be asked for in full.
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

// patch is how a text is made of another: segments of that, and new ones, in order.
type patch struct {
	Segments []segment `pb:"1"`
}

// segment is a run of bytes of the base, or new ones.
type segment struct {
	Offset  uint64 `pb:"1"` // in the base
	Length  uint64 `pb:"2"` // 0: Literal
	Literal []byte `pb:"3"`
}

// apply makes the text. It is no longer than MaxFrameSize and one segment.
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

// add puts a part behind the others: as a segment of the base if it is found there, at the given offset.
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

// itemPrefix is how an item of a configuration begins: texts are cut there. One that is written otherwise is
// a single item, and goes in full.
var itemPrefix = []byte(`{"item_kind"`)

// forEachItem cuts a text into items, and calls do with each and its offset.
func forEachItem(text []byte, do func(offset int, item []byte)) {
	offset := 0
	for offset < len(text) {
		end := len(text)
		if next := bytes.Index(text[offset+1:], itemPrefix); next >= 0 {
			end = offset + 1 + next
		}
		do(offset, text[offset:end])
		offset = end
	}
}

// diff returns the patch from one text to another, item by item.
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
