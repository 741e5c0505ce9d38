// Command dunespoke is one ingress on real sockets. It reads its configuration from the file that LB_CONFIG
// names, and what an operator adds from the one that DUNESPOKE_OPERATOR names, if any. It writes its log to
// standard output.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

func main() {
	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, hangups(), os.Getenv, log); err != nil {
		fmt.Fprintln(os.Stderr, "dunespoke:", err)
		os.Exit(1)
	}
}

// hangups takes SIGHUP from now on: unheeded, it would end the program. One that comes while another waits
// adds nothing to it.
func hangups() <-chan os.Signal {
	all := make(chan os.Signal, 1)
	signal.Notify(all, syscall.SIGHUP)
	return all
}
