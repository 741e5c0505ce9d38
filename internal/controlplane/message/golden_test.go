package message

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strconv"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files; only for a new field or type")

const (
	goldenFile      = "testdata/messages.golden"       // written by the first version of the program
	goldenAddedFile = "testdata/messages-added.golden" // with addedFields
)

// addedFields lists, by message type, the fields that were added since the first golden file was written.
var addedFields = map[uint64][]int{5: {55}, 19: {63}, 20: {64}}

// fieldsOf lists, by message type, the numbers of the protobuf fields that a message carries, without the
// type itself (field 1). It consists of numbers only, so that renaming a Go identifier cannot change it.
var fieldsOf = map[uint64][]int{
	1:  {3, 40, 41},
	2:  {11, 18, 20, 32, 40, 54},
	3:  {6, 30, 31, 40, 53},
	5:  {4, 7, 9, 10, 12, 13, 30, 32, 33, 34, 45, 46, 47, 50, 51},
	6:  {4, 7, 21, 22, 30, 39, 40, 71},
	7:  {4, 7, 8, 21, 22, 32, 39, 40, 70, 71},
	8:  {2, 4, 5, 6, 30, 31, 40, 53},
	9:  {4, 5, 6, 7, 8, 22, 30, 31, 40, 53, 70},
	10: {4, 40},
	11: {4, 5, 7, 52},
	12: {2, 7, 8, 40},
	13: {2, 4, 7, 9, 40},
	14: {4, 7, 8, 22},
	15: {2, 7, 40},
	16: {2, 7, 8, 9, 40},
	17: {2, 4, 40},
	18: {2, 4, 9, 40},
	19: {2, 4, 7, 12, 14, 17, 18, 40, 46, 47, 60, 61, 62},
	20: {2, 4, 5, 6, 7, 8, 9, 12, 13, 14, 30, 31, 40, 53, 60},
	21: {12},
	22: {2, 4, 15, 40, 42},
	23: {2, 4, 9, 15, 19, 40},
	24: {4, 5, 40},
	25: {4, 6, 7, 9, 40},
	26: {4, 6, 40},
	27: {4, 40},
	28: {2, 7, 40},
	40: {7, 8, 21, 22, 32, 70},
	41: {7, 32},
	42: {6, 30, 31, 53},
	43: {2, 35, 36, 40},
	44: {2, 5, 6, 9, 13, 30, 37, 38, 40, 48},
}

// fill sets the tagged fields of a struct to values derived from their numbers. If only is not nil, it sets
// just the fields with the numbers in it.
func fill(v reflect.Value, only []int) {
	for i := range v.NumField() {
		number, err := strconv.Atoi(v.Type().Field(i).Tag.Get("pb"))
		if err != nil || only != nil && !slices.Contains(only, number) {
			continue
		}
		fillValue(v.Field(i), number)
	}
}

// fillValue sets a field to a value derived from its number.
func fillValue(v reflect.Value, number int) {
	switch v.Kind() {
	case reflect.Uint64:
		v.SetUint(uint64(1000*number + 7))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(number) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("field-%d", number))
	case reflect.Array:
		for i := range v.Len() {
			v.Index(i).SetUint(uint64(number + i))
		}
	case reflect.Struct:
		fill(v, nil)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), nil)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range 2 {
			if v.Type().Elem().Kind() == reflect.Uint8 {
				v.Index(i).SetUint(uint64(number + i))
			} else {
				fillValue(v.Index(i), number+i)
			}
		}
	default:
		panic("no value for a field of kind " + v.Kind().String())
	}
}

// golden returns the hex-encoded frame of a message of each type with all its fields set, one type a line.
// The fields in addedFields are set only if withAdded is true.
func golden(withAdded bool) []byte {
	var out bytes.Buffer
	for _, number := range slices.Sorted(maps.Keys(fieldsOf)) {
		m := &Message{Body: newBody[Type(number)]()}
		fill(reflect.ValueOf(m).Elem(), fieldsOf[number])
		body := reflect.ValueOf(m.Body).Elem()
		fill(body, nil)
		if !withAdded {
			clearFields(body, addedFields[number])
		}
		fmt.Fprintf(&out, "%d %s\n", number, hex.EncodeToString(AppendFrame(nil, m)))
	}
	return out.Bytes()
}

// clearFields sets the fields of a struct with the given numbers to their zero values.
func clearFields(v reflect.Value, numbers []int) {
	for i := range v.NumField() {
		number, err := strconv.Atoi(v.Type().Field(i).Tag.Get("pb"))
		if err == nil && slices.Contains(numbers, number) {
			v.Field(i).SetZero()
		}
	}
}

// The encoding of every message type is the one that earlier versions of the program wrote: that in the
// first golden file without the fields added since, and that in the second file with them. Decoding and
// encoding a golden message again yields the same bytes.
func TestEncodingMatchesGoldenFiles(t *testing.T) {
	checkGolden(t, goldenFile, false)
	checkGolden(t, goldenAddedFile, true)
}

// checkGolden compares the output of golden with a golden file, after rewriting the file if -update is set.
func checkGolden(t *testing.T, file string, withAdded bool) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, golden(withAdded), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(golden(withAdded), want) {
		t.Errorf("%s: the encoding of messages has changed", file)
	}
	types := 0
	for lines := bufio.NewScanner(bytes.NewReader(want)); lines.Scan(); types++ {
		var number uint64
		var text string
		if _, err := fmt.Sscanf(lines.Text(), "%d %s", &number, &text); err != nil {
			t.Fatal(err)
		}
		frame, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		var decoder FrameDecoder
		decoder.Feed(frame)
		m, err := decoder.Next()
		if err != nil || m == nil || uint64(m.Type()) != number {
			t.Fatalf("type %d: %v, %v", number, m, err)
		}
		if !bytes.Equal(AppendFrame(nil, m), frame) {
			t.Errorf("type %d: decoding and encoding again changes the bytes", number)
		}
	}
	if types != len(fieldsOf) {
		t.Errorf("%d types in the file, %d in the table", types, len(fieldsOf))
	}
}
