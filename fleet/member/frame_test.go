package member

import (
	"bytes"
	"testing"
)

func TestFrames(t *testing.T) {
	b := frame{"a1", 7, 9, []byte("data")}.append(nil)
	f, err := readFrame(b)
	if err != nil || f.from != "a1" || f.life != 7 || f.sequence != 9 || !bytes.Equal(f.data, []byte("data")) {
		t.Errorf("%+v, %v", f, err)
	}
	for n := range len(b) - 4 {
		if _, err := readFrame(b[:n]); err == nil {
			t.Errorf("the first %d bytes were accepted as a frame", n)
		}
	}
}

func TestWindowAcceptsEachNumberOnce(t *testing.T) {
	w := &window{}
	for i, c := range []struct {
		n    uint64
		want bool
	}{{1, true}, {1, false}, {3, true}, {2, true}, {2, false}, {100, true}, {36, false}, {37, true}, {37, false},
		{99, true}, {0, false}, {1 << 60, true}, {100, false}} {
		if got := w.accept(c.n); got != c.want {
			t.Errorf("step %d: number %d accepted: %v", i, c.n, got)
		}
	}
}
