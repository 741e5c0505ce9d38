package gateway

import (
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
)

// Header lines that say for whom a proxy speaks. Clients may write what they like there.
var ofProxies = []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto",
	"X-Forwarded-Port", "X-Forwarded-Server", "X-Real-Ip"}

// clean drops what holds for one connection alone.
func clean(h http.Header) { http1.DropHops(h, "Host") }

func continues(expect string) bool { return strings.EqualFold(expect, "100-continue") }

func join(all []string) string { return strings.Join(all, ", ") }

// trusted reports whether a peer's word on whom it speaks for is taken.
func (f *plan) trusted(at netip.Addr) bool {
	return slices.ContainsFunc(f.TrustedProxies, func(p netip.Prefix) bool { return p.Contains(at) })
}

// address is the client's: the peer's own, or, where that is a trusted proxy, the last one before all trusted
// ones that X-Forwarded-For names.
func (f *plan) address(r *http.Request, peer net.Addr) netip.Addr {
	at := addressOf(peer)
	if !f.trusted(at) {
		return at
	}
	hops := strings.Split(join(r.Header["X-Forwarded-For"]), ",")
	for _, hop := range slices.Backward(hops) {
		before, err := netip.ParseAddr(strings.TrimSpace(hop))
		if err != nil {
			break
		}
		if at = before.Unmap(); !f.trusted(at) {
			break
		}
	}
	return at
}

// forwarded tells the servers for whom this program speaks, by RFC 7239 and by the names used before it.
func (f *plan) forwarded(x *accept.Exchange, h http.Header) {
	at := addressOf(x.Peer)
	proto := "http"
	if x.TLS != nil {
		proto = "https"
	}
	var list, before []string
	if f.trusted(at) {
		list, before = h["X-Forwarded-For"], h["Forwarded"]
		if p := h.Get("X-Forwarded-Proto"); p == "http" || p == "https" {
			proto = p
		}
	}
	for _, name := range ofProxies {
		delete(h, name)
	}
	node := "unknown"
	if at.IsValid() {
		list = append(slices.Clip(list), at.String())
		if node = at.String(); at.Is6() {
			node = `"[` + node + `]"`
		}
	}
	if len(list) > 0 {
		h["X-Forwarded-For"] = []string{join(list)}
	}
	h["X-Forwarded-Proto"] = []string{proto}
	if strings.ContainsAny(x.Host, "\"\\") {
		h["Forwarded"] = []string{join(append(slices.Clip(before), "for="+node+";proto="+proto))}
		return
	}
	h["X-Forwarded-Host"] = []string{x.Host}
	h["Forwarded"] = []string{join(append(slices.Clip(before), "for="+node+`;host="`+x.Host+`";proto=`+proto))}
}

// via is this program's line in Via.
const via = "1.1 dunespoke"

// head writes a request's head as the servers are to get it.
func (f *plan) head(x *accept.Exchange, r *Route) []byte {
	h := x.Header
	trailers := false
	for _, line := range h["Te"] {
		trailers = trailers || strings.EqualFold(strings.TrimSpace(line), "trailers")
	}
	clean(h)
	delete(h, "Expect") // it is between the client and this program
	f.forwarded(x, h)
	h["Via"] = append(slices.Clip(h["Via"]), via)
	host := r.Host
	if host == "" {
		host = x.Host
	}
	b := make([]byte, 0, 512)
	b = append(append(b, x.Method...), ' ')
	b = append(append(b, target(x.Request)...), " HTTP/1.1\r\n"...)
	b = http1.AppendHeader(b, "Host", host)
	b = http1.AppendHeaders(b, h)
	if trailers {
		b = http1.AppendHeader(b, "Connection", "te")
		b = http1.AppendHeader(b, "Te", "trailers")
	}
	return appendFraming(b, x)
}
