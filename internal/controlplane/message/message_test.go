package message

import (
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/encoding/protowire"
)

// Given any message, when it goes out in pieces of any size, then the same message comes in.
func TestWhatIsSentIsWhatComes(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	p.Property("round trip", prop.ForAll(func(call, version uint64, chain []string, config []byte,
		tokens float64,
		ok bool, cut int) bool {
		in := &Message{
			Type:      TypeWatchResponse,
			RequestID: call,
			Version:   version,
			Chain:     chain,
			Config: &Delta{BaseVersion: call,
				Raw: config},
			OK: ok,
			Endpoints: &EndpointList{
				Epoch:     call,
				Endpoints: []Endpoint{{ID: "i-1", Addr: "10.0.0.1:80", Capacity: version}},
			},
			Nodes:            []Node{{Addr: "a", Zone: "z"}, {Addr: "b"}},
			Tokens:           []TenantTokens{{"t", tokens, -tokens}},
			AcceptedVersions: []AcceptedVersion{{version, DigestOf(config)}, {Version: call}},
		}
		if len(chain) == 0 {
			in.Chain = nil
		}
		if len(config) == 0 {
			in.Config.Raw = nil
		}
		b := AppendFrame(AppendFrame(nil, in), &Message{Type: TypeHeartbeat})
		var c FrameDecoder
		var got []*Message
		for len(b) > 0 {
			n := min(cut, len(b))
			c.Feed(b[:n])
			b = b[n:]
			m, err := c.Next()
			if err != nil {
				return false
			}
			if m != nil {
				got = append(got, m)
			}
		}
		if m, _ := c.Next(); m != nil {
			got = append(got, m)
		}
		return len(got) == 2 && reflect.DeepEqual(got[0], in) && got[1].Type == TypeHeartbeat
	}, gen.UInt64(), gen.UInt64(), gen.SliceOf(gen.AlphaString()), gen.SliceOf(gen.UInt8()), gen.Float64(),
		gen.Bool(), gen.IntRange(1, 64)))
	p.TestingRun(t)
}

// Given bytes of a peer that is broken, when they are read, then there is an error or a message, and no
// crash.
func FuzzFrames(f *testing.F) {
	f.Add(
		AppendFrame(
			nil,
			&Message{Type: TypePut, Version: 7, Config: NewDelta([]byte("{}"), 0, nil), Chain: []string{"a"}},
		),
	)
	f.Add([]byte{0, 0, 0, 2, 0x0a, 0xff})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var c FrameDecoder
		c.Feed(b)
		for {
			m, err := c.Next()
			if m == nil || err != nil {
				break
			}
			again := new(Message)
			if err := Unmarshal(MarshalAppend(nil, m), again); err != nil {
				t.Fatalf("what was read can't be read again: %v", err)
			}
		}
	})
}

// Given two configurations, when the newer is packed as a change of the older, then it comes out right, and
// on any other base it does not come out at all.
func TestAChangeComesOutRightOnItsBaseAlone(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	p.Property("pack and unpack", prop.ForAll(func(old, fresh []string) bool {
		a, b := document(old), document(fresh)
		packed := new(Delta)
		if Unmarshal(MarshalAppend(nil, NewDelta(b, 7, a)), packed) != nil {
			return false
		}
		text, err := packed.Apply(7, a)
		if err != nil || string(text) != string(b) {
			return false
		}
		if _, err := packed.Apply(6, a); err == nil {
			return false
		}
		other, err := packed.Apply(7, append([]byte("x"), a...))
		return err != nil || string(other) == string(b)
	}, gen.SliceOf(gen.OneConstOf("one", "two", "three", "four", "five")),
		gen.SliceOf(gen.OneConstOf("one", "two", "three", "six"))))
	p.TestingRun(t)
}

// document is a configuration whose items have the given names.
func document(names []string) []byte {
	b := []byte(`{"version":"r1","items_of":[`)
	for i, n := range names {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"item_kind":"routes","metadata":{"name":"`+n+`"},"desired":{}}`...)
	}
	return append(b, "]}"...)
}

// Given a long configuration of which one item changes, when it is packed, then it takes few bytes.
func TestAChangeOfALongConfigurationIsShort(t *testing.T) {
	var names []string
	for i := range 2000 {
		names = append(names, string(rune('a'+i%26))+string(rune('a'+i/26)))
	}
	old := document(names)
	names[700] = "changed"
	if n := len(MarshalAppend(nil, NewDelta(document(names), 1, old))); n > 200 {
		t.Errorf("%d bytes for a change of %d", n, len(old))
	}
	if n := len(MarshalAppend(nil, NewDelta(old, 0, nil))); n > len(old)/4 {
		t.Errorf("%d bytes for a whole of %d", n, len(old))
	}
}

// Given all that is written by numbered fields, then no two fields of one have the same number.
func TestNumbersOfFieldsStandForOne(t *testing.T) {
	for _, v := range []any{Message{}, AcceptedVersion{}, Node{}, EndpointList{}, Endpoint{},
		TenantTokens{}, Delta{}} {
		seen := map[protowire.Number]bool{}
		for _, f := range codecOf(reflect.TypeOf(v)) {
			if seen[f.num] {
				t.Errorf("%T: two fields have the number %d", v, f.num)
			}
			seen[f.num] = true
		}
	}
}
