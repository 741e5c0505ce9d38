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

// forwardingHeaders are the header fields in which a proxy identifies its client. Only those of trusted
// proxies are used, since any client can send them.
var forwardingHeaders = []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto",
	"X-Forwarded-Port", "X-Forwarded-Server", "X-Real-Ip"}

// dropHopByHop removes the header fields that apply to a single connection only, and Host.
func dropHopByHop(h http.Header) { http1.DropHops(h, "Host") }

// isContinue reports whether an Expect header asks for a 100 Continue response.
func isContinue(expect string) bool { return strings.EqualFold(expect, "100-continue") }

func joinValues(values []string) string { return strings.Join(values, ", ") }

// trustedProxy reports whether an address belongs to a proxy whose forwarding headers are accepted.
func (f *plan) trustedProxy(addr netip.Addr) bool {
	return slices.ContainsFunc(f.TrustedProxies, func(p netip.Prefix) bool { return p.Contains(addr) })
}

// clientAddr returns the address of the client: that of the peer or, if the peer is a trusted proxy, the last
// address in X-Forwarded-For that is not one of a trusted proxy. If all are trusted, it is the first of them.
// Entries before an invalid one are ignored.
func (f *plan) clientAddr(r *http.Request, peer net.Addr) netip.Addr {
	addr := peerAddr(peer)
	if !f.trustedProxy(addr) {
		return addr
	}
	hops := strings.Split(joinValues(r.Header["X-Forwarded-For"]), ",")
	for _, hop := range slices.Backward(hops) {
		hopAddr, err := netip.ParseAddr(strings.TrimSpace(hop))
		if err != nil {
			break
		}
		if addr = hopAddr.Unmap(); !f.trustedProxy(addr) {
			break
		}
	}
	return addr
}

// setForwarded sets the header fields that identify the client to the servers: Forwarded of RFC 7239, and the
// X-Forwarded fields that preceded it. Values from the client are kept only if it is a trusted proxy.
func (f *plan) setForwarded(x *accept.Exchange, h http.Header) {
	addr := peerAddr(x.Peer)
	proto := "http"
	if x.TLS != nil {
		proto = "https"
	}
	var forwardedFor, forwarded []string
	if f.trustedProxy(addr) {
		forwardedFor, forwarded = h["X-Forwarded-For"], h["Forwarded"]
		if p := h.Get("X-Forwarded-Proto"); p == "http" || p == "https" {
			proto = p
		}
	}
	for _, name := range forwardingHeaders {
		delete(h, name)
	}
	node := "unknown"
	if addr.IsValid() {
		forwardedFor = append(slices.Clip(forwardedFor), addr.String())
		if node = addr.String(); addr.Is6() {
			node = `"[` + node + `]"`
		}
	}
	if len(forwardedFor) > 0 {
		h["X-Forwarded-For"] = []string{joinValues(forwardedFor)}
	}
	h["X-Forwarded-Proto"] = []string{proto}
	if strings.ContainsAny(x.Host, "\"\\") {
		h["Forwarded"] = []string{joinValues(append(slices.Clip(forwarded), "for="+node+";proto="+proto))}
		return
	}
	h["X-Forwarded-Host"] = []string{x.Host}
	h["Forwarded"] = []string{joinValues(append(slices.Clip(forwarded),
		"for="+node+`;host="`+x.Host+`";proto=`+proto))}
}

// viaValue is the value that this program adds to Via.
const viaValue = "1.1 dunespoke"

// requestHead returns the head of a request as it is sent to the servers.
func (f *plan) requestHead(x *accept.Exchange, r *Route) []byte {
	h := x.Header
	trailers := false
	for _, line := range h["Te"] {
		trailers = trailers || strings.EqualFold(strings.TrimSpace(line), "trailers")
	}
	dropHopByHop(h)
	delete(h, "Expect") // applies between the client and this program only
	f.setForwarded(x, h)
	h["Via"] = append(slices.Clip(h["Via"]), viaValue)
	host := r.Host
	if host == "" {
		host = x.Host
	}
	b := make([]byte, 0, 512)
	b = append(append(b, x.Method...), ' ')
	b = append(append(b, requestTarget(x.Request)...), " HTTP/1.1\r\n"...)
	b = http1.AppendHeader(b, "Host", host)
	b = http1.AppendHeaders(b, h)
	if trailers {
		b = http1.AppendHeader(b, "Connection", "te")
		b = http1.AppendHeader(b, "Te", "trailers")
	}
	return appendFraming(b, x)
}
