package message

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// routes returns n random configuration items.
func routes(rng *rand.Rand, n int) [][]byte {
	list := make([][]byte, n)
	for i := range list {
		list[i] = route(rng, i)
	}
	return list
}

// route returns a random configuration item with number i.
func route(rng *rand.Rand, i int) []byte {
	return fmt.Appendf(nil, `{"item_kind":"routes","metadata":{"name":"route-%d"},`+
		`"desired":{"domain":"%x.example","path_start":"/%x/","backend":"service-%d","wait_s":%d}},`,
		i, rng.Uint64(), rng.Uint32(), rng.IntN(830), rng.IntN(30))
}

// A delta computed from the chunk index of any old text, whether or not the new text is an edit of it,
// applies to that old text and yields the new one. Applied to a different old text, or computed from a
// truncated index, it yields an error or the correct text, never a wrong one.
func TestDeltaOverChunkIndexYieldsText(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(7)
	params.MinSuccessfulTests = 150
	p := gopter.NewProperties(params)
	p.Property("delta over a chunk index yields the text or an error", prop.ForAll(func(seed uint64) string {
		rng := rand.New(rand.NewPCG(seed, 1))
		items := routes(rng, rng.IntN(600))
		old := bytes.Join(items, nil)
		for range rng.IntN(40) { // inserts, removals, changes and swaps
			at := rng.IntN(len(items) + 1)
			switch operation := rng.IntN(4); {
			case operation == 0:
				items = append(items[:at:at], append(routes(rng, 1), items[at:]...)...)
			case at == len(items):
			case operation == 1:
				items = append(items[:at:at], items[at+1:]...)
			case operation == 2:
				items[at] = route(rng, at)
			default:
				other := rng.IntN(len(items))
				items[at], items[other] = items[other], items[at]
			}
		}
		text := append([]byte("  "), bytes.Join(items, nil)...)
		if rng.IntN(4) == 0 { // a text without items
			text = bytes.Repeat([]byte{'x', byte(seed)}, rng.IntN(80_000))
		}
		var joined []byte
		ConfigChunks(text, func(chunk []byte) {
			if joined = append(joined, chunk...); len(chunk) == 0 || len(chunk) > 3*maxChunkSize {
				t.Errorf("a chunk of %d bytes", len(chunk))
			}
		})
		if !bytes.Equal(joined, text) {
			return "the chunks joined differ from the text"
		}
		delta := NewDeltaOver(text, 7, ChunkIndex(old, ConfigChunks), ConfigChunks)
		if got, err := delta.Apply(7, old); err != nil || !bytes.Equal(got, text) {
			return fmt.Sprint("the applied delta differs from the text: ", err)
		}
		if len(old) > 0 && delta.BaseVersion != 0 {
			old[rng.IntN(len(old))]++
			got, err := delta.Apply(7, old)
			if err == nil && !bytes.Equal(got, text) || err != nil && !errors.Is(err, ErrDigestMismatch) {
				return fmt.Sprint("applied to another text: ", err)
			}
		}
		index := ChunkIndex(old, ConfigChunks)
		index = index[:rng.IntN(len(index)+1)]
		got, err := NewDeltaOver(text, 7, index, ConfigChunks).Apply(7, old)
		if err == nil && !bytes.Equal(got, text) {
			return "delta over a truncated index yields a wrong text"
		}
		return ""
	}, gen.UInt64()))
	p.TestingRun(t)
}

// The delta for a replica that missed some changes of a configuration of 14,000 routes grows with the
// number of changes, not with the size of the configuration.
func TestDeltaSizeDependsOnChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	items := routes(rng, 14_000)
	old := bytes.Join(items, nil)
	index := ChunkIndex(old, ConfigChunks)
	fullSize := len(MarshalAppend(nil, NewDelta(old, 0, nil)))
	t.Logf("text %d bytes, compressed %d, chunk index %d", len(old), fullSize, len(index))
	if len(index) > len(old)/100 {
		t.Errorf("the chunk index has %d bytes for a text of %d", len(index), len(old))
	}
	done := 0
	for _, c := range []struct{ changes, maxSize int }{{0, 100}, {1, 6_000}, {10, 50_000}, {100, fullSize / 2}} {
		for ; done < c.changes; done++ {
			at := rng.IntN(len(items))
			items[at] = route(rng, at)
		}
		text := bytes.Join(items, nil)
		if n := len(MarshalAppend(nil, NewDeltaOver(text, 1, index, ConfigChunks))); n > c.maxSize {
			t.Errorf("%d changes: %d bytes", c.changes, n)
		} else {
			t.Logf("%d changes: %d bytes", c.changes, n)
		}
	}
}
