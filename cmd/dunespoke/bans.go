package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// bansFile returns the path of the file that passes the app servers banned by an operator to the process of
// an upgrade. The path is derived from the temporary directory and the listen address, which both processes
// share; nothing else outlasts the process.
func bansFile(listen string) string {
	clean := strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '.' {
			return r
		}
		return '-'
	}, listen)
	return filepath.Join(os.TempDir(), "dunespoke-bans-"+clean)
}

// bansHeader is the first line of the file and contains the version of its format. Files of other versions
// are rejected.
const bansHeader = "dunespoke bans 1"

// Limits on the content of the file: anyone who can write to the directory may have written it.
const (
	maxBans         = 4096
	maxBanNameBytes = 256
)

// readBans reads the banned servers, one name per line. It returns none if the file doesn't exist.
func readBans(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("bans: %w", err)
	}
	form, rest, _ := strings.Cut(string(text), "\n")
	if form != bansHeader {
		return nil, fmt.Errorf("bans %s: the file does not begin with %q", path, bansHeader)
	}
	var names []string
	for _, line := range strings.Split(rest, "\n") {
		name := strings.TrimSpace(line)
		if name == "" {
			continue
		}
		if len(name) > maxBanNameBytes || strings.ContainsFunc(name, func(r rune) bool { return r < ' ' }) ||
			len(names) == maxBans {
			return nil, fmt.Errorf("bans %s: invalid or too many server names", path)
		}
		names = append(names, name)
	}
	return names, nil
}

// writeBans replaces the file atomically, so that a concurrent reader sees the old list or the new one. If
// names is empty, it removes the file.
func writeBans(path string, names []string) error {
	slices.Sort(names)
	if len(names) == 0 {
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("bans: %w", err)
		}
		return nil
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return fmt.Errorf("bans: %w", err)
	}
	_, err = f.WriteString(bansHeader + "\n" + strings.Join(names, "\n") + "\n")
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("bans: %w", err)
	}
	return nil
}
