package message

import (
	"bytes"
	"compress/flate"
	"errors"
	"hash/fnv"
	"io"
)

// A configuration travels packed: as what changed since one that the receiver has, where that is known, and
// squeezed where it is long. A digest of the whole says whether it came out right; if not, it is asked for
// whole. Links may be as slow as a quarter of a megabyte a second, and configurations longer than that.

// compressThreshold is the length from which squeezing is worth the processor's time.
const compressThreshold = 2 << 10

// Delta is a configuration on its way.
type Delta struct {
	BaseVersion uint64 `pb:"1"` // the version that it is a change of; 0: it is whole
	Checksum    uint64 `pb:"2"` // of the whole; 0: empty
	Raw         []byte `pb:"3"` // the whole, or a change
	Compressed  []byte `pb:"4"` // that, squeezed
}

// patch is how a text is made of another: pieces of that, and new ones, in order.
type patch struct {
	Segments []segment `pb:"1"`
}

type segment struct {
	Offset  uint64 `pb:"1"` // of the old text
	Length  uint64 `pb:"2"` // 0: New
	Literal []byte `pb:"3"`
}

// Errors of unpacking.
var (
	ErrUnknownBase    = errors.New("signal: a change of another configuration")
	ErrDigestMismatch = errors.New("signal: a configuration did not come out right")
)

// Checksum is that of a text.
func Checksum(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return max(1, h.Sum64())
}

// NewDelta packs a text, as a change of an older one if there is one.
func NewDelta(text []byte, base uint64, old []byte) *Delta {
	p := &Delta{Checksum: Checksum(text), Raw: text}
	if base != 0 && len(old) > 0 {
		p.BaseVersion = base
		p.Raw = MarshalAppend(nil, diff(old, text))
	}
	return compressed(p)
}

// compressed squeezes what is long.
func compressed(p *Delta) *Delta {
	if len(p.Raw) >= compressThreshold {
		var b bytes.Buffer
		w, _ := flate.NewWriter(&b, flate.BestSpeed)
		w.Write(p.Raw)
		w.Close()
		p.Raw, p.Compressed = nil, b.Bytes()
	}
	return p
}

// Apply returns the text. The base is the version that the receiver has, and old its text.
func (p *Delta) Apply(base uint64, old []byte) ([]byte, error) {
	raw := p.Raw
	if len(p.Compressed) > 0 {
		var err error
		raw, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Compressed)), MaxFrameSize))
		if err != nil {
			return nil, ErrDigestMismatch
		}
	}
	if p.BaseVersion != 0 {
		if p.BaseVersion != base {
			return nil, ErrUnknownBase
		}
		var c patch
		if Unmarshal(raw, &c) != nil {
			return nil, ErrDigestMismatch
		}
		raw = nil
		for _, s := range c.Segments {
			switch {
			case s.Length == 0:
				raw = append(raw, s.Literal...)
			case s.Offset > uint64(len(old)) || s.Length > uint64(len(old))-s.Offset || len(raw) > MaxFrameSize:
				return nil, ErrDigestMismatch
			default:
				raw = append(raw, old[s.Offset:s.Offset+s.Length]...)
			}
		}
	}
	if Checksum(raw) != p.Checksum {
		return nil, ErrDigestMismatch
	}
	return raw, nil
}

// itemPrefix is how an item of a configuration begins: texts are cut there. One that is written otherwise is
// a single piece, and goes whole.
var itemPrefix = []byte(`{"item_kind"`)

// forEachItem cuts a text into pieces that begin at marks, and calls f with each and where it begins.
func forEachItem(text []byte, f func(at int, part []byte)) {
	at := 0
	for at < len(text) {
		end := len(text)
		if next := bytes.Index(text[at+1:], itemPrefix); next >= 0 {
			end = at + 1 + next
		}
		f(at, text[at:end])
		at = end
	}
}

func diff(old, text []byte) *patch {
	places := map[string]int{}
	forEachItem(old, func(at int, part []byte) { places[string(part)] = at })
	c := &patch{}
	forEachItem(text, func(_ int, part []byte) {
		at, same := places[string(part)]
		c.add(uint64(at), same, part)
	})
	return c
}
