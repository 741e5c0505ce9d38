package message

import (
	"reflect"
	"slices"
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
		response := &WatchResponse{
			Version: version,
			Chain:   chain,
			Config:  &Delta{BaseVersion: call, Raw: config},
			Fresh:   ok,
			Endpoints: &EndpointList{
				Epoch:     call,
				Endpoints: []Endpoint{{ID: "i-1", Addr: "10.0.0.1:80", Capacity: version}},
			},
			Nodes: []Node{{Addr: "a", Zone: "z"}, {Addr: "b"}},
		}
		if len(chain) == 0 {
			response.Chain = nil
		}
		if len(config) == 0 {
			response.Config.Raw = nil
		}
		sent := []*Message{
			{RequestID: call, Body: response},
			{RequestID: call, Incarnation: version, Body: &TokenRequest{Epoch: version,
				Tokens: []TenantTokens{{"t", tokens, -tokens}}}},
			{Body: &Replicate{Version: version,
				AcceptedVersions: []AcceptedVersion{{version, DigestOf(config)}, {Version: call}}}},
			{Body: &Heartbeat{}},
		}
		var b []byte
		for _, m := range sent {
			b = AppendFrame(b, m)
		}
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
		return reflect.DeepEqual(got, sent)
	}, gen.UInt64(), gen.UInt64(), gen.SliceOf(gen.AlphaString()), gen.SliceOf(gen.UInt8()), gen.Float64(),
		gen.Bool(), gen.IntRange(1, 64)))
	p.TestingRun(t)
}

// Given bytes of a peer that is broken, when they are read, then there is an error or a message, and no
// crash.
func FuzzFrames(f *testing.F) {
	f.Add(AppendFrame(nil, &Message{Body: &Put{Version: 7, Config: NewDelta([]byte("{}"), 0, nil)}}))
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
func TestFieldNumbersAreUnique(t *testing.T) {
	written := []any{AcceptedVersion{}, Node{}, EndpointList{}, Endpoint{}, TenantTokens{}, Delta{},
		SnapshotChunk{},
		patch{}, segment{}}
	for _, v := range written {
		seen := map[protowire.Number]bool{}
		for _, f := range codecOf(reflect.TypeOf(v)) {
			if seen[f.number] {
				t.Errorf("%T: two fields have the number %d", v, f.number)
			}
			seen[f.number] = true
		}
	}
}

// Given the body of each type, then it says its type, none of its fields has the number of another or of the
// header, and each has its place in the order of writing.
func TestBodiesShareTheNumbersOfTheHeader(t *testing.T) {
	for number, makeBody := range newBody {
		body := makeBody()
		if body.Type() != number {
			t.Errorf("the body of %d says that it is of type %d", number, body.Type())
		}
		seen := map[protowire.Number]bool{typeNumber: true}
		for _, field := range messageCodecOf(reflect.TypeOf(body).Elem()) {
			if seen[field.number] || !slices.Contains(fieldOrder, field.number) {
				t.Errorf("%v: field %d stands twice, or has no place in the order", number, field.number)
			}
			seen[field.number] = true
		}
	}
}

// Given a message of a type that a later version of the program has added, when it is read, then it is passed
// on as unknown, and not taken for broken.
func TestAnUnknownTypeIsNoError(t *testing.T) {
	b := AppendFrame(nil, &Message{RequestID: 7, Body: &Unknown{99}})
	var decoder FrameDecoder
	decoder.Feed(b)
	m, err := decoder.Next()
	if err != nil || m.Type() != 99 || m.RequestID != 7 || m.IsRequest() || m.IsResponse() {
		t.Errorf("%+v, %v", m, err)
	}
}
