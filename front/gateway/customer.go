package gateway

import (
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"

	"dunespoke/bearer"
	"dunespoke/internal/net/accept"
)

// Kind is where a customer's name is read from.
type Kind int

// The kinds of sources.
const (
	Address     Kind = iota // the client's address
	Header                  // a header line
	Path                    // a variable of the route's path
	Certificate             // the subject of the client's certificate
	Claim                   // of the access token
)

// Source says whose quota a request draws on.
type Source struct {
	Kind Kind
	Name string // of the header, the variable or the claim
}

var errSource = errors.New("want address, certificate, header:NAME, path:NAME or claim:NAME")

// ParseSource reads a source as in "header:X-Account".
func ParseSource(text string) (Source, error) {
	kind, name, named := strings.Cut(text, ":")
	switch {
	case !named && (kind == "address" || kind == ""):
		return Source{}, nil
	case !named && kind == "certificate":
		return Source{Kind: Certificate}, nil
	case named && name != "" && kind == "header":
		return Source{Header, name}, nil
	case named && name != "" && kind == "path":
		return Source{Path, name}, nil
	case named && kind == "claim":
		if name != "sub" && name != "client_id" {
			return Source{}, fmt.Errorf("claim %q: want sub or client_id", name)
		}
		return Source{Claim, name}, nil
	}
	return Source{}, fmt.Errorf("%q: %w", text, errSource)
}

// VerifyChain checks a client's chain of certificates.
type VerifyChain func([]*x509.Certificate) error

// What keeps a customer from being known.
var (
	errNoHeader = errors.New("the header that names the customer is missing, or there are several")
	errNoCert   = errors.New("a client certificate is needed")
)

// read finds the customer's name. That of a claim is found later.
func (s Source) read(f *plan, x *accept.Exchange, vars map[string]string) (string, error) {
	switch s.Kind {
	case Header:
		if all := x.Header.Values(s.Name); len(all) == 1 && all[0] != "" {
			return all[0], nil
		}
		return "", errNoHeader
	case Path:
		return vars[s.Name], nil
	case Certificate:
		if x.TLS == nil || len(x.TLS.PeerCertificates) == 0 || f.VerifyClient == nil ||
			f.VerifyClient(x.TLS.PeerCertificates) != nil {
			return "", errNoCert
		}
		return x.TLS.PeerCertificates[0].Subject.String(), nil
	case Claim:
		return "", nil
	}
	return f.address(x.Request, x.Peer).String(), nil
}

// claim reads what a token says of its customer.
func claim(c bearer.Claims, name string) string {
	if name == "client_id" {
		return c.ClientID
	}
	return c.Subject
}

// addressOf is the address of a peer; the zero one if it has none.
func addressOf(peer net.Addr) netip.Addr {
	if peer == nil {
		return netip.Addr{}
	}
	at, err := netip.ParseAddrPort(peer.String())
	if err != nil {
		return netip.Addr{}
	}
	return at.Addr().Unmap()
}
