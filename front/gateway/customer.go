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

// Kind is the part of a request that contains the customer's name.
type Kind int

// The kinds of sources.
const (
	Address     Kind = iota // the client's IP address
	Header                  // a header field
	Path                    // a variable of the route's path
	Certificate             // the subject of the client's certificate
	Claim                   // a claim of the access token
)

// Source defines how the customer whose quota a request uses is determined.
type Source struct {
	Kind Kind
	Name string // of the header, the variable or the claim
}

var errSource = errors.New("want address, certificate, header:NAME, path:NAME or claim:NAME")

// ParseSource parses a source such as "header:X-Account". An empty text means the client's address.
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

// VerifyChain verifies the certificate chain of a client.
type VerifyChain func([]*x509.Certificate) error

// Errors of requests whose customer cannot be determined. Clients get their texts.
var (
	errNoHeader = errors.New("the header that names the customer is missing, or there are several")
	errNoCert   = errors.New("a client certificate is needed")
)

// customerName returns the customer's name. It is empty for Claim, whose value is known only after the token
// was checked. vars are the values of the path variables.
func (s Source) customerName(f *plan, x *accept.Exchange, vars map[string]string) (string, error) {
	switch s.Kind {
	case Header:
		if values := x.Header.Values(s.Name); len(values) == 1 && values[0] != "" {
			return values[0], nil
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
	return f.clientAddr(x.Request, x.Peer).String(), nil
}

// claimValue returns the client_id or the subject of a token.
func claimValue(c bearer.Claims, name string) string {
	if name == "client_id" {
		return c.ClientID
	}
	return c.Subject
}

// peerAddr returns the IP address of a peer, or the zero Addr if it has none.
func peerAddr(peer net.Addr) netip.Addr {
	if peer == nil {
		return netip.Addr{}
	}
	addrPort, err := netip.ParseAddrPort(peer.String())
	if err != nil {
		return netip.Addr{}
	}
	return addrPort.Addr().Unmap()
}
