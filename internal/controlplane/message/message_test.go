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

// Messages whose encoding arrives in pieces of any size are decoded to equal messages.
func TestDecodedMessagesEqualSentMessages(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	p.Property("round trip", prop.ForAll(func(requestID, version uint64, chain []string, config []byte,
		tokens float64,
		ok bool, pieceSize int) bool {
		response := &WatchResponse{
			Version: version,
			Chain:   chain,
			Config:  &Delta{BaseVersion: requestID, Raw: config},
			Fresh:   ok,
			Endpoints: &EndpointList{
				Epoch:     requestID,
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
			{RequestID: requestID, Body: response},
			{RequestID: requestID, Incarnation: version, Body: &TokenRequest{Epoch: version,
				Tokens: []TenantTokens{{"t", tokens, -tokens}}}},
			{Body: &Replicate{Version: version,
				AcceptedVersions: []AcceptedVersion{{version, DigestOf(config)}, {Version: requestID}}}},
			{Body: &Heartbeat{}},
		}
		var b []byte
		for _, m := range sent {
			b = AppendFrame(b, m)
		}
		var decoder FrameDecoder
		var got []*Message
		for len(b) > 0 {
			n := min(pieceSize, len(b))
			decoder.Feed(b[:n])
			b = b[n:]
			m, err := decoder.Next()
			if err != nil {
				return false
			}
			if m != nil {
				got = append(got, m)
			}
		}
		if m, _ := decoder.Next(); m != nil {
			got = append(got, m)
		}
		return reflect.DeepEqual(got, sent)
	}, gen.UInt64(), gen.UInt64(), gen.SliceOf(gen.AlphaString()), gen.SliceOf(gen.UInt8()), gen.Float64(),
		gen.Bool(), gen.IntRange(1, 64)))
	p.TestingRun(t)
}

// Decoding arbitrary bytes from a faulty peer yields messages or an error and never panics. A decoded
// message can be encoded and decoded again.
func FuzzFrames(f *testing.F) {
	f.Add(AppendFrame(nil, &Message{Body: &Put{Version: 7, Config: NewDelta([]byte("{}"), 0, nil)}}))
	f.Add([]byte{0, 0, 0, 2, 0x0a, 0xff})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var decoder FrameDecoder
		decoder.Feed(b)
		for {
			m, err := decoder.Next()
			if m == nil || err != nil {
				break
			}
			decoded := new(Message)
			if err := Unmarshal(MarshalAppend(nil, m), decoded); err != nil {
				t.Fatalf("a decoded message cannot be decoded again: %v", err)
			}
		}
	})
}

// A delta between two configurations yields the newer one when applied to the older one. Applied to another
// base version it is rejected, and applied to another text it is rejected or still yields the newer
// configuration.
func TestDeltaAppliesOnlyToItsBase(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	p.Property("encode, decode and apply", prop.ForAll(func(base, updated []string) bool {
		a, b := document(base), document(updated)
		delta := new(Delta)
		if Unmarshal(MarshalAppend(nil, NewDelta(b, 7, a)), delta) != nil {
			return false
		}
		text, err := delta.Apply(7, a)
		if err != nil || string(text) != string(b) {
			return false
		}
		if _, err := delta.Apply(6, a); err == nil {
			return false
		}
		other, err := delta.Apply(7, append([]byte("x"), a...))
		return err != nil || string(other) == string(b)
	}, gen.SliceOf(gen.OneConstOf("one", "two", "three", "four", "five")),
		gen.SliceOf(gen.OneConstOf("one", "two", "three", "six"))))
	p.TestingRun(t)
}

// document returns a configuration whose items have the given names.
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

// The delta for one changed item of a long configuration is short, and a full configuration is compressed.
func TestDeltaOfALongConfigurationIsShort(t *testing.T) {
	var names []string
	for i := range 2000 {
		names = append(names, string(rune('a'+i%26))+string(rune('a'+i/26)))
	}
	base := document(names)
	names[700] = "changed"
	if n := len(MarshalAppend(nil, NewDelta(document(names), 1, base))); n > 200 {
		t.Errorf("%d bytes for one changed item in a text of %d", n, len(base))
	}
	if n := len(MarshalAppend(nil, NewDelta(base, 0, nil))); n > len(base)/4 {
		t.Errorf("%d bytes for a full text of %d", n, len(base))
	}
}

// No two fields of a struct that is part of a message have the same number.
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

// Every body returns the type under which it is registered. Its fields have numbers that differ from each
// other and from those of the header, and each number is in fieldOrder.
func TestBodyFieldNumbersAreUniqueAndOrdered(t *testing.T) {
	for number, makeBody := range newBody {
		body := makeBody()
		if body.Type() != number {
			t.Errorf("the body of type %d returns type %d", number, body.Type())
		}
		seen := map[protowire.Number]bool{typeNumber: true}
		for _, field := range messageCodecOf(reflect.TypeOf(body).Elem()) {
			if seen[field.number] || !slices.Contains(fieldOrder, field.number) {
				t.Errorf("%v: field %d is duplicated or missing from fieldOrder", number, field.number)
			}
			seen[field.number] = true
		}
	}
}

// A message of a type that a later version of the program has added is decoded as Unknown, without an error.
func TestAnUnknownTypeIsNoError(t *testing.T) {
	b := AppendFrame(nil, &Message{RequestID: 7, Body: &Unknown{99}})
	var decoder FrameDecoder
	decoder.Feed(b)
	m, err := decoder.Next()
	if err != nil || m.Type() != 99 || m.RequestID != 7 || m.IsRequest() || m.IsResponse() {
		t.Errorf("%+v, %v", m, err)
	}
}
