//go:build !linux

// Package direct has its own way of reading and writing on Linux only; elsewhere it is package net.
package direct

import (
	"context"
	"net"
)

// Listen is net.Listen.
func Listen(network, addr string) (net.Listener, error) { return net.Listen(network, addr) }

// Dial is that of a net.Dialer.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, addr)
}
