//go:build !linux

// Package direct makes raw system calls on Linux only; on other systems it uses package net.
package direct

import (
	"context"
	"net"
)

// Listen calls net.Listen.
func Listen(network, addr string) (net.Listener, error) { return net.Listen(network, addr) }

// Dial calls net.Dialer.DialContext.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, addr)
}
