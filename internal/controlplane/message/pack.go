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

// squeezeFrom is the length from which squeezing is worth the processor's time.
const squeezeFrom = 2 << 10

// Packed is a configuration on its way.
type Packed struct {
	Base   uint64 `pb:"1"` // the version that it is a change of; 0: it is whole
	Digest uint64 `pb:"2"` // of the whole; 0: empty
	Raw    []byte `pb:"3"` // the whole, or a change
	Flate  []byte `pb:"4"` // that, squeezed
}

// change is how a text is made of another: pieces of that, and new ones, in order.
type change struct {
	Pieces []piece `pb:"1"`
}

type piece struct {
	From uint64 `pb:"1"` // of the old text
	Size uint64 `pb:"2"` // 0: New
	New  []byte `pb:"3"`
}

// Errors of unpacking.
var (
	ErrBase   = errors.New("signal: a change of another configuration")
	ErrDigest = errors.New("signal: a configuration did not come out right")
)

// Digest is that of a text.
func Digest(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return max(1, h.Sum64())
}

// Pack packs a text, as a change of an older one if there is one.
func Pack(text []byte, base uint64, old []byte) *Packed {
	p := &Packed{Digest: Digest(text), Raw: text}
	if base != 0 && len(old) > 0 {
		p.Base = base
		p.Raw = Encode(nil, diff(old, text))
	}
	return squeezed(p)
}

// squeezed squeezes what is long.
func squeezed(p *Packed) *Packed {
	if len(p.Raw) >= squeezeFrom {
		var b bytes.Buffer
		w, _ := flate.NewWriter(&b, flate.BestSpeed)
		w.Write(p.Raw)
		w.Close()
		p.Raw, p.Flate = nil, b.Bytes()
	}
	return p
}

// Unpack returns the text. The base is the version that the receiver has, and old its text.
func (p *Packed) Unpack(base uint64, old []byte) ([]byte, error) {
	raw := p.Raw
	if len(p.Flate) > 0 {
		var err error
		raw, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Flate)), MaxFrame))
		if err != nil {
			return nil, ErrDigest
		}
	}
	if p.Base != 0 {
		if p.Base != base {
			return nil, ErrBase
		}
		var c change
		if Decode(raw, &c) != nil {
			return nil, ErrDigest
		}
		raw = nil
		for _, s := range c.Pieces {
			switch {
			case s.Size == 0:
				raw = append(raw, s.New...)
			case s.From > uint64(len(old)) || s.Size > uint64(len(old))-s.From || len(raw) > MaxFrame:
				return nil, ErrDigest
			default:
				raw = append(raw, old[s.From:s.From+s.Size]...)
			}
		}
	}
	if Digest(raw) != p.Digest {
		return nil, ErrDigest
	}
	return raw, nil
}

// mark is how an item of a configuration begins: texts are cut there. One that is written otherwise is a
// single piece, and goes whole.
var mark = []byte(`{"item_kind"`)

// cut cuts a text into pieces that begin at marks, and calls f with each and where it begins.
func cut(text []byte, f func(at int, part []byte)) {
	at := 0
	for at < len(text) {
		end := len(text)
		if next := bytes.Index(text[at+1:], mark); next >= 0 {
			end = at + 1 + next
		}
		f(at, text[at:end])
		at = end
	}
}

func diff(old, text []byte) *change {
	places := map[string]int{}
	cut(old, func(at int, part []byte) { places[string(part)] = at })
	c := &change{}
	cut(text, func(_ int, part []byte) {
		at, same := places[string(part)]
		c.add(uint64(at), same, part)
	})
	return c
}
