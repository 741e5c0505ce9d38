package message

import (
	"errors"
	"math"
	"reflect"
	"strconv"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
)

// fieldCodec is how a field of a struct is written.
type fieldCodec struct {
	num   protowire.Number
	index int
	kind  reflect.Kind // of the field; Slice: of its elements, see elem; Array: of bytes
	elem  reflect.Kind
}

var structCodecs sync.Map // of []field, by reflect.Type

// codecOf reads a struct's tags, once.
func codecOf(t reflect.Type) []fieldCodec {
	if p, ok := structCodecs.Load(t); ok {
		return p.([]fieldCodec)
	}
	var plan []fieldCodec
	for i := range t.NumField() {
		n, err := strconv.Atoi(t.Field(i).Tag.Get("pb"))
		if err != nil {
			continue
		}
		f := fieldCodec{num: protowire.Number(n), index: i, kind: t.Field(i).Type.Kind()}
		if f.kind == reflect.Slice {
			f.elem = t.Field(i).Type.Elem().Kind()
		}
		plan = append(plan, f)
	}
	structCodecs.Store(t, plan)
	return plan
}

// MarshalAppend writes a struct, or a pointer to one, whose fields have tags, behind buf. Empty fields take
// no bytes.
func MarshalAppend(buf []byte, v any) []byte {
	return marshalStruct(buf, reflect.Indirect(reflect.ValueOf(v)))
}

func marshalStruct(buf []byte, v reflect.Value) []byte {
	for _, f := range codecOf(v.Type()) {
		fv := v.Field(f.index)
		if f.kind != reflect.Slice && fv.IsZero() {
			continue
		}
		switch f.kind {
		case reflect.Uint64:
			buf = protowire.AppendTag(buf, f.num, protowire.VarintType)
			buf = protowire.AppendVarint(buf, fv.Uint())
		case reflect.Bool:
			buf = protowire.AppendTag(buf, f.num, protowire.VarintType)
			buf = protowire.AppendVarint(buf, 1)
		case reflect.Float64:
			buf = protowire.AppendTag(buf, f.num, protowire.Fixed64Type)
			buf = protowire.AppendFixed64(buf, math.Float64bits(fv.Float()))
		case reflect.String:
			buf = protowire.AppendTag(buf, f.num, protowire.BytesType)
			buf = protowire.AppendString(buf, fv.String())
		case reflect.Array:
			buf = protowire.AppendTag(buf, f.num, protowire.BytesType)
			buf = protowire.AppendVarint(buf, uint64(fv.Len()))
			for i := range fv.Len() {
				buf = append(buf, byte(fv.Index(i).Uint()))
			}
		case reflect.Pointer, reflect.Struct:
			buf = appendStruct(buf, f.num, reflect.Indirect(fv))
		case reflect.Slice:
			buf = appendSlice(buf, f, fv)
		}
	}
	return buf
}

func appendStruct(buf []byte, num protowire.Number, v reflect.Value) []byte {
	buf = protowire.AppendTag(buf, num, protowire.BytesType)
	return protowire.AppendBytes(buf, marshalStruct(nil, v))
}

func appendSlice(buf []byte, f fieldCodec, v reflect.Value) []byte {
	if f.elem == reflect.Uint8 {
		if v.Len() > 0 {
			buf = protowire.AppendTag(buf, f.num, protowire.BytesType)
			buf = protowire.AppendBytes(buf, v.Bytes())
		}
		return buf
	}
	for i := range v.Len() {
		if f.elem == reflect.String {
			buf = protowire.AppendTag(buf, f.num, protowire.BytesType)
			buf = protowire.AppendString(buf, v.Index(i).String())
		} else {
			buf = appendStruct(buf, f.num, v.Index(i))
		}
	}
	return buf
}

var errFieldType = errors.New("a field has another type")

// Unmarshal reads a struct that Encode wrote. Fields that it does not know are passed over. Slices of bytes
// are copies.
func Unmarshal(b []byte, v any) error {
	return unmarshalStruct(b, reflect.Indirect(reflect.ValueOf(v)))
}

func unmarshalStruct(b []byte, v reflect.Value) error {
	plan := codecOf(v.Type())
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		n = protowire.ConsumeFieldValue(num, typ, b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		value := b[:n]
		b = b[n:]
		for _, f := range plan {
			if f.num == num {
				if err := unmarshalField(v.Field(f.index), f, typ, value); err != nil {
					return err
				}
				break
			}
		}
	}
	return nil
}

func unmarshalField(fv reflect.Value, f fieldCodec, typ protowire.Type, b []byte) error {
	want := protowire.BytesType
	switch f.kind {
	case reflect.Uint64, reflect.Bool:
		want = protowire.VarintType
	case reflect.Float64:
		want = protowire.Fixed64Type
	}
	if typ != want {
		return errFieldType
	}
	var inner []byte
	if want == protowire.BytesType {
		inner, _ = protowire.ConsumeBytes(b)
	}
	switch f.kind {
	case reflect.Uint64:
		n, _ := protowire.ConsumeVarint(b)
		fv.SetUint(n)
	case reflect.Bool:
		n, _ := protowire.ConsumeVarint(b)
		fv.SetBool(n != 0)
	case reflect.Float64:
		n, _ := protowire.ConsumeFixed64(b)
		fv.SetFloat(math.Float64frombits(n))
	case reflect.String:
		fv.SetString(string(inner))
	case reflect.Array:
		if len(inner) != fv.Len() {
			return errFieldType
		}
		reflect.Copy(fv, reflect.ValueOf(inner))
	case reflect.Struct:
		return unmarshalStruct(inner, fv)
	case reflect.Pointer:
		fv.Set(reflect.New(fv.Type().Elem()))
		return unmarshalStruct(inner, fv.Elem())
	case reflect.Slice:
		switch f.elem {
		case reflect.Uint8:
			fv.SetBytes(append([]byte(nil), inner...))
		case reflect.String:
			fv.Set(reflect.Append(fv, reflect.ValueOf(string(inner))))
		default:
			e := reflect.New(fv.Type().Elem())
			if err := unmarshalStruct(inner, e.Elem()); err != nil {
				return err
			}
			fv.Set(reflect.Append(fv, e.Elem()))
		}
	}
	return nil
}
