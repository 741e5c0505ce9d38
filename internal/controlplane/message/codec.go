package message

import (
	"errors"
	"math"
	"reflect"
	"slices"
	"strconv"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
)

// typeNumber is the number of the field that carries the type of a message. It is written first.
const typeNumber = 1

// fieldOrder is the order in which the fields of a message's header and body are written. Readers accept any
// order. The order is fixed so that the same message has the same encoding in all versions of the program.
var fieldOrder = []protowire.Number{2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 17, 18, 19, 20, 21, 22,
	39, 40,
	41, 42, 45, 46, 47, 30, 31, 32, 33, 34, 35, 36, 37, 38, 48, 53, 54, 50, 51, 52, 55, 60, 61, 62, 63, 64,
	70, 71}

// errFieldType is returned for a field whose wire type or length does not match its Go type.
var errFieldType = errors.New("message: field has the wrong wire type or length")

// fieldCodec describes how a field of a struct is encoded.
type fieldCodec struct {
	number protowire.Number
	index  int          // index of the field in its struct
	kind   reflect.Kind // kind of the field; an Array has byte elements
	elem   reflect.Kind // kind of the elements, if the field is a slice
}

// structCodecs caches a []fieldCodec by reflect.Type.
var structCodecs sync.Map

// codecOf returns the codecs of the fields of a struct that have a "pb" tag, in declaration order. It is
// safe for concurrent use.
func codecOf(t reflect.Type) []fieldCodec {
	if cached, ok := structCodecs.Load(t); ok {
		return cached.([]fieldCodec)
	}
	var codec []fieldCodec
	for i := range t.NumField() {
		number, err := strconv.Atoi(t.Field(i).Tag.Get("pb"))
		if err != nil {
			continue
		}
		field := fieldCodec{number: protowire.Number(number), index: i, kind: t.Field(i).Type.Kind()}
		if field.kind == reflect.Slice {
			field.elem = t.Field(i).Type.Elem().Kind()
		}
		codec = append(codec, field)
	}
	structCodecs.Store(t, codec)
	return codec
}

// messageField is a field of the header or of the body of a message.
type messageField struct {
	fieldCodec
	inBody bool
}

// messageCodecs caches a []messageField by the reflect.Type of the body.
var messageCodecs sync.Map

// messageCodecOf returns the fields of a message whose body has the given struct type, in the order in which
// they are written. It is safe for concurrent use.
func messageCodecOf(body reflect.Type) []messageField {
	if cached, ok := messageCodecs.Load(body); ok {
		return cached.([]messageField)
	}
	var fields []messageField
	for _, field := range codecOf(reflect.TypeFor[Message]()) {
		fields = append(fields, messageField{field, false})
	}
	for _, field := range codecOf(body) {
		fields = append(fields, messageField{field, true})
	}
	slices.SortFunc(fields, func(a, b messageField) int {
		return slices.Index(fieldOrder, a.number) - slices.Index(fieldOrder, b.number)
	})
	messageCodecs.Store(body, fields)
	return fields
}

// MarshalAppend appends the encoding of a struct with "pb" tags, or of a pointer to one, to buf and returns
// the extended buffer. Empty fields take no bytes.
func MarshalAppend(buf []byte, v any) []byte {
	if m, ok := v.(*Message); ok {
		return marshalMessage(buf, m)
	}
	return marshalStruct(buf, reflect.Indirect(reflect.ValueOf(v)))
}

// marshalMessage appends the type of a message, then the fields of its header and body in fieldOrder. A
// message without a body has no type.
func marshalMessage(buf []byte, m *Message) []byte {
	if m.Body == nil {
		return marshalStruct(buf, reflect.ValueOf(m).Elem())
	}
	buf = protowire.AppendTag(buf, typeNumber, protowire.VarintType)
	buf = protowire.AppendVarint(buf, uint64(m.Type()))
	header, body := reflect.ValueOf(m).Elem(), reflect.ValueOf(m.Body).Elem()
	for _, field := range messageCodecOf(body.Type()) {
		if field.inBody {
			buf = marshalField(buf, field.fieldCodec, body)
		} else {
			buf = marshalField(buf, field.fieldCodec, header)
		}
	}
	return buf
}

func marshalStruct(buf []byte, v reflect.Value) []byte {
	for _, field := range codecOf(v.Type()) {
		buf = marshalField(buf, field, v)
	}
	return buf
}

// marshalField appends a field of the struct parent to buf, unless the field is empty.
func marshalField(buf []byte, field fieldCodec, parent reflect.Value) []byte {
	v := parent.Field(field.index)
	if field.kind != reflect.Slice && v.IsZero() {
		return buf
	}
	switch field.kind {
	case reflect.Uint64:
		buf = protowire.AppendTag(buf, field.number, protowire.VarintType)
		buf = protowire.AppendVarint(buf, v.Uint())
	case reflect.Bool:
		buf = protowire.AppendTag(buf, field.number, protowire.VarintType)
		buf = protowire.AppendVarint(buf, 1)
	case reflect.Float64:
		buf = protowire.AppendTag(buf, field.number, protowire.Fixed64Type)
		buf = protowire.AppendFixed64(buf, math.Float64bits(v.Float()))
	case reflect.String:
		buf = protowire.AppendTag(buf, field.number, protowire.BytesType)
		buf = protowire.AppendString(buf, v.String())
	case reflect.Array:
		buf = protowire.AppendTag(buf, field.number, protowire.BytesType)
		buf = protowire.AppendVarint(buf, uint64(v.Len()))
		for i := range v.Len() {
			buf = append(buf, byte(v.Index(i).Uint()))
		}
	case reflect.Pointer, reflect.Struct:
		buf = appendStruct(buf, field.number, reflect.Indirect(v))
	case reflect.Slice:
		buf = appendSlice(buf, field, v)
	}
	return buf
}

func appendStruct(buf []byte, number protowire.Number, v reflect.Value) []byte {
	buf = protowire.AppendTag(buf, number, protowire.BytesType)
	return protowire.AppendBytes(buf, marshalStruct(nil, v))
}

func appendSlice(buf []byte, field fieldCodec, v reflect.Value) []byte {
	if field.elem == reflect.Uint8 {
		if v.Len() > 0 {
			buf = protowire.AppendTag(buf, field.number, protowire.BytesType)
			buf = protowire.AppendBytes(buf, v.Bytes())
		}
		return buf
	}
	for i := range v.Len() {
		if field.elem == reflect.String {
			buf = protowire.AppendTag(buf, field.number, protowire.BytesType)
			buf = protowire.AppendString(buf, v.Index(i).String())
		} else {
			buf = appendStruct(buf, field.number, v.Index(i))
		}
	}
	return buf
}

// Unmarshal decodes the output of MarshalAppend into the struct that v points to. Fields that the struct
// does not have are skipped. Byte slices are copied, so they do not refer to b.
func Unmarshal(b []byte, v any) error {
	if m, ok := v.(*Message); ok {
		return unmarshalMessage(b, m)
	}
	return unmarshalStruct(b, reflect.ValueOf(v).Elem())
}

// unmarshalMessage decodes a message. A message of an unknown type gets an Unknown body.
func unmarshalMessage(b []byte, m *Message) error {
	number, err := messageType(b)
	if err != nil {
		return err
	}
	header := reflect.ValueOf(m).Elem()
	makeBody := newBody[number]
	if makeBody == nil {
		if number != 0 {
			m.Body = &Unknown{number}
		}
		return unmarshalStruct(b, header)
	}
	m.Body = makeBody()
	body := reflect.ValueOf(m.Body).Elem()
	fields := messageCodecOf(body.Type())
	return forEachField(b, func(number protowire.Number, t protowire.Type, value []byte) error {
		for _, field := range fields {
			if field.number != number {
				continue
			}
			if field.inBody {
				return unmarshalField(body.Field(field.index), field.fieldCodec, t, value)
			}
			return unmarshalField(header.Field(field.index), field.fieldCodec, t, value)
		}
		return nil
	})
}

// messageType returns the type of an encoded message, or 0 if it has none. The type is written first, so
// normally only one field is read.
func messageType(b []byte) (Type, error) {
	for len(b) > 0 {
		number, t, n := protowire.ConsumeTag(b)
		if n < 0 {
			return 0, protowire.ParseError(n)
		}
		b = b[n:]
		if number == typeNumber {
			if t != protowire.VarintType {
				return 0, errFieldType
			}
			value, n := protowire.ConsumeVarint(b)
			return Type(value), protowire.ParseError(n)
		}
		if n = protowire.ConsumeFieldValue(number, t, b); n < 0 {
			return 0, protowire.ParseError(n)
		}
		b = b[n:]
	}
	return 0, nil
}

func unmarshalStruct(b []byte, v reflect.Value) error {
	codec := codecOf(v.Type())
	return forEachField(b, func(number protowire.Number, t protowire.Type, value []byte) error {
		for _, field := range codec {
			if field.number == number {
				return unmarshalField(v.Field(field.index), field, t, value)
			}
		}
		return nil
	})
}

// forEachField calls visit with the number, the wire type and the encoded value of each field. It stops at
// the first error.
func forEachField(b []byte, visit func(number protowire.Number, t protowire.Type, value []byte) error) error {
	for len(b) > 0 {
		number, t, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		n = protowire.ConsumeFieldValue(number, t, b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		if err := visit(number, t, b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// wireType returns the wire type of a field.
func (f fieldCodec) wireType() protowire.Type {
	switch f.kind {
	case reflect.Uint64, reflect.Bool:
		return protowire.VarintType
	case reflect.Float64:
		return protowire.Fixed64Type
	}
	return protowire.BytesType
}

// unmarshalField decodes the encoded value b of wire type t into the field v.
func unmarshalField(v reflect.Value, field fieldCodec, t protowire.Type, b []byte) error {
	if t != field.wireType() {
		return errFieldType
	}
	switch t {
	case protowire.VarintType:
		n, _ := protowire.ConsumeVarint(b)
		if field.kind == reflect.Bool {
			v.SetBool(n != 0)
		} else {
			v.SetUint(n)
		}
		return nil
	case protowire.Fixed64Type:
		n, _ := protowire.ConsumeFixed64(b)
		v.SetFloat(math.Float64frombits(n))
		return nil
	}
	inner, _ := protowire.ConsumeBytes(b)
	return unmarshalBytes(v, field, inner)
}

// unmarshalBytes decodes the content of a length-delimited field.
func unmarshalBytes(v reflect.Value, field fieldCodec, b []byte) error {
	switch field.kind {
	case reflect.String:
		v.SetString(string(b))
	case reflect.Array:
		if len(b) != v.Len() {
			return errFieldType
		}
		reflect.Copy(v, reflect.ValueOf(b))
	case reflect.Struct:
		return unmarshalStruct(b, v)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return unmarshalStruct(b, v.Elem())
	case reflect.Slice:
		return unmarshalElement(v, field, b)
	}
	return nil
}

// unmarshalElement decodes one element and appends it to a slice. A byte slice is replaced instead, as it is
// encoded as a single value.
func unmarshalElement(v reflect.Value, field fieldCodec, b []byte) error {
	switch field.elem {
	case reflect.Uint8:
		v.SetBytes(append([]byte(nil), b...))
	case reflect.String:
		v.Set(reflect.Append(v, reflect.ValueOf(string(b))))
	default:
		element := reflect.New(v.Type().Elem())
		if err := unmarshalStruct(b, element.Elem()); err != nil {
			return err
		}
		v.Set(reflect.Append(v, element.Elem()))
	}
	return nil
}
