package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestBansFileRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bans")
	if names, err := readBans(path); names != nil || err != nil {
		t.Fatalf("no file: %q, %v", names, err)
	}
	if err := writeBans(path, []string{"s2", "s1"}); err != nil {
		t.Fatal(err)
	}
	if names, err := readBans(path); !slices.Equal(names, []string{"s1", "s2"}) || err != nil {
		t.Errorf("%q, %v", names, err)
	}
	if err := writeBans(path, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Errorf("the file exists after the last ban was removed: %v", err)
	}
}

// A file that isn't a valid list of names is rejected with an error, and no name is read from it.
func TestReadBansRejectsInvalidFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bans")
	for _, text := range []string{bansHeader + "\ns1\n\x00\n",
		bansHeader + "\n" + strings.Repeat("x", 300) + "\n",
		"s1\ns2\n", "dunespoke bans 0\ns1\n"} {
		os.WriteFile(path, []byte(text), 0o600)
		if names, err := readBans(path); names != nil || err == nil {
			t.Errorf("%.20q: %q, %v", text, names, err)
		}
	}
}

func TestBansFileNameDependsOnListenAddress(t *testing.T) {
	a, b := bansFile("127.0.0.1:8080"), bansFile("[::1]:8080")
	if a == b || filepath.Dir(a) != os.TempDir() || strings.ContainsAny(filepath.Base(b), "[]:") {
		t.Errorf("%s, %s", a, b)
	}
}
