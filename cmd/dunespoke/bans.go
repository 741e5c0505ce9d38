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

// bansFile is where the app servers banned by an operator are kept for the process that upgrades this one:
// the temporary directory is the same for both, and so is the clients' address. Nothing else lasts.
func bansFile(listen string) string {
	clean := strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '.' {
			return r
		}
		return '-'
	}, listen)
	return filepath.Join(os.TempDir(), "dunespoke-bans-"+clean)
}

// bansForm is the file's first line: a file of another form, older or newer, is not read.
const bansForm = "dunespoke bans 1"

// Bounds on the file, which anyone who can write the directory may have written.
const (
	bansMost    = 4096
	banNameMost = 256
)

// readBans reads the bans kept, one name a line; none if there is no file.
func readBans(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("bans: %w", err)
	}
	form, rest, _ := strings.Cut(string(text), "\n")
	if form != bansForm {
		return nil, fmt.Errorf("bans %s: the file is not of the form %q", path, bansForm)
	}
	var names []string
	for _, line := range strings.Split(rest, "\n") {
		name := strings.TrimSpace(line)
		if name == "" {
			continue
		}
		if len(name) > banNameMost || strings.ContainsFunc(name, func(r rune) bool { return r < ' ' }) ||
			len(names) == bansMost {
			return nil, fmt.Errorf("bans %s: not a list of names", path)
		}
		names = append(names, name)
	}
	return names, nil
}

// writeBans replaces the file whole, so that a process that reads it meanwhile reads the old list or the new.
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
	_, err = f.WriteString(bansForm + "\n" + strings.Join(names, "\n") + "\n")
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
