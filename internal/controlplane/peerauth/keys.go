// Package peerauth authenticates the system's processes to each other with mutual TLS 1.3, based on keys
// that an operator deploys to all of them. A process that has a key can claim any address; one without a
// key can claim none.
//
// Each process derives a certificate authority, an Ed25519 key pair, from each key. With the authority of
// its first key a process issues itself a certificate for its own address. It accepts certificates issued
// by the authority of any of its keys. Keys can therefore be replaced without interruption: in all
// processes add the new key after the old one, then move it to the first place, then remove the old one.
// Each step must be complete everywhere before the next one.
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

// minKeyLength is the minimum length of a key in bytes. 32 random hexadecimal digits have 128 bits of
// entropy.
const minKeyLength = 32

// authorityInfo is the HKDF info that separates these derived keys from others derived from the same secret.
const authorityInfo = "dunespoke peer authority v1"

// Keys contains the authorities derived from the shared keys, in the order of the keys. The first one
// issues this process's certificate. Keys are never logged.
type Keys struct{ authorities []ed25519.PrivateKey }

// ReadFile reads a key file with one key per line. Keys contain no spaces. Empty lines and lines that begin
// with # are ignored.
func ReadFile(path string) (Keys, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Keys{}, trace.ConvertSystemError(err)
	}
	keys, err := ParseKeys(text)
	return keys, trace.Wrap(err, "peer keys %s", path)
}

// ParseKeys parses the content of a key file, as described at ReadFile. For an invalid key it returns a
// trace.BadParameter error that contains the number of the line but not the key.
func ParseKeys(text []byte) (Keys, error) {
	var keys Keys
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
			continue
		case len(line) < minKeyLength:
			return Keys{}, trace.BadParameter("line %d: a key must have at least %d characters", number, minKeyLength)
		case strings.ContainsAny(line, " \t"):
			return Keys{}, trace.BadParameter("line %d: a key must not contain spaces", number)
		}
		seed, err := hkdf.Key(sha256.New, []byte(line), nil, authorityInfo, ed25519.SeedSize)
		if err != nil {
			return Keys{}, trace.Wrap(err)
		}
		keys.authorities = append(keys.authorities, ed25519.NewKeyFromSeed(seed))
	}
	if err := lines.Err(); err != nil {
		return Keys{}, trace.BadParameter("line too long")
	}
	if len(keys.authorities) == 0 {
		return Keys{}, trace.BadParameter("no key found")
	}
	return keys, nil
}
