// Package peerauth authenticates the system's processes to each other: mutual TLS 1.3 by keys that an
// operator gives to all of them. Whoever holds a key may claim any address, and nobody else can claim
// one.
//
// A key stands for an authority: an Ed25519 key pair that each process derives from it. With the first of
// its keys a process issues itself a certificate for its own address; it accepts certificates under any
// of them. So keys are replaced without a stop: the new one is added behind the old one everywhere, then
// put first everywhere, then the old one is removed everywhere.
package peerauth

import (
	"bufio"
	"bytes"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// minKeyLength is the least length of a key in characters. 32 random hexadecimal digits have 128 bits.
const minKeyLength = 32

// authorityInfo separates the keys derived here from others derived from the same secret.
const authorityInfo = "dunespoke peer authority v1"

// Keys are the secrets that processes share, the one that is used first. They are never logged.
type Keys struct{ authorities []ed25519.PrivateKey }

// ReadFile reads a file of keys: one a line, without spaces; empty lines and those that begin with # are
// passed over.
func ReadFile(path string) (Keys, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Keys{}, trace.ConvertSystemError(err)
	}
	keys, err := ParseKeys(text)
	return keys, trace.Wrap(err, "peer keys %s", path)
}

// ParseKeys reads keys as ReadFile does. The error is a trace.BadParameter that names the line, and not
// the key.
func ParseKeys(text []byte) (Keys, error) {
	var keys Keys
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
			continue
		case len(line) < minKeyLength:
			return Keys{}, trace.BadParameter("line %d: a key has at least %d characters", number, minKeyLength)
		case strings.ContainsAny(line, " \t"):
			return Keys{}, trace.BadParameter("line %d: a key has no spaces", number)
		}
		seed, err := hkdf.Key(sha256.New, []byte(line), nil, authorityInfo, ed25519.SeedSize)
		if err != nil {
			return Keys{}, trace.Wrap(err)
		}
		keys.authorities = append(keys.authorities, ed25519.NewKeyFromSeed(seed))
	}
	if err := lines.Err(); err != nil {
		return Keys{}, trace.BadParameter("a line is too long")
	}
	if len(keys.authorities) == 0 {
		return Keys{}, trace.BadParameter("no key")
	}
	return keys, nil
}
