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

// routes draws a configuration of n items.
func routes(rng *rand.Rand, n int) [][]byte {
	list := make([][]byte, n)
	for i := range list {
		list[i] = route(rng, i)
	}
	return list
}

func route(rng *rand.Rand, i int) []byte {
	return fmt.Appendf(nil, `{"item_kind":"routes","metadata":{"name":"route-%d"},`+
		`"desired":{"domain":"%x.example","path_start":"/%x/","backend":"service-%d","wait_s":%d}},`,
		i, rng.Uint64(), rng.Uint32(), rng.IntN(830), rng.IntN(30))
}

// Given any two texts, related by edits or not, when one is packed over the outline of the other, then the
// receiver has it whole, and another old text than the outline's is told as such, never taken.
func TestChunksRepairWhatDiffers(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(7)
	params.MinSuccessfulTests = 150
	p := gopter.NewProperties(params)
	p.Property("comes out right", prop.ForAll(func(seed uint64) string {
		rng := rand.New(rand.NewPCG(seed, 1))
		items := routes(rng, rng.IntN(600))
		old := bytes.Join(items, nil)
		for range rng.IntN(40) { // inserts, removals, changes, moves
			at := rng.IntN(len(items) + 1)
			switch k := rng.IntN(4); {
			case k == 0:
				items = append(items[:at:at], append(routes(rng, 1), items[at:]...)...)
			case at == len(items):
			case k == 1:
				items = append(items[:at:at], items[at+1:]...)
			case k == 2:
				items[at] = route(rng, at)
			default:
				other := rng.IntN(len(items))
				items[at], items[other] = items[other], items[at]
			}
		}
		text := append([]byte("  "), bytes.Join(items, nil)...)
		if rng.IntN(4) == 0 { // one without items
			text = bytes.Repeat([]byte{'x', byte(seed)}, rng.IntN(80_000))
		}
		var joined []byte
		ConfigChunks(text, func(part []byte) {
			if joined = append(joined, part...); len(part) == 0 || len(part) > 3*maxChunkSize {
				t.Errorf("a range of %d bytes", len(part))
			}
		})
		if !bytes.Equal(joined, text) {
			return "the ranges are not the text"
		}
		packed := NewDeltaOver(text, 7, ChunkIndex(old, ConfigChunks), ConfigChunks)
		if got, err := packed.Apply(7, old); err != nil || !bytes.Equal(got, text) {
			return fmt.Sprint("not as sent: ", err)
		}
		if len(old) > 0 && packed.BaseVersion != 0 {
			old[rng.IntN(len(old))]++
			got, err := packed.Apply(7, old)
			if err == nil && !bytes.Equal(got, text) || err != nil && !errors.Is(err, ErrDigestMismatch) {
				return fmt.Sprint("over another text: ", err)
			}
		}
		outline := ChunkIndex(old, ConfigChunks)
		outline = outline[:rng.IntN(len(outline)+1)]
		got, err := NewDeltaOver(text, 7, outline, ConfigChunks).Apply(7, old)
		if err == nil && !bytes.Equal(got, text) {
			return "over an outline that is cut off"
		}
		return ""
	}, gen.UInt64()))
	p.TestingRun(t)
}

// Given 14,000 routes, when a machine missed changes, then what it is sent follows from the changes, not from
// the whole.
func TestChunksCostWhatChanged(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	items := routes(rng, 14_000)
	old := bytes.Join(items, nil)
	outline := ChunkIndex(old, ConfigChunks)
	whole := len(MarshalAppend(nil, NewDelta(old, 0, nil)))
	t.Logf("text %d, squeezed %d, outline %d", len(old), whole, len(outline))
	if len(outline) > len(old)/100 {
		t.Errorf("the outline has %d bytes of %d", len(outline), len(old))
	}
	done := 0
	for _, c := range []struct{ changes, most int }{{0, 100}, {1, 6_000}, {10, 50_000}, {100, whole / 2}} {
		for ; done < c.changes; done++ {
			at := rng.IntN(len(items))
			items[at] = route(rng, at)
		}
		text := bytes.Join(items, nil)
		if n := len(MarshalAppend(nil, NewDeltaOver(text, 1, outline, ConfigChunks))); n > c.most {
			t.Errorf("%d changes: %d bytes", c.changes, n)
		} else {
			t.Logf("%d changes: %d bytes", c.changes, n)
		}
	}
}
