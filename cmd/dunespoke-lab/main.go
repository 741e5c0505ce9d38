// Command dunespoke-lab is the laboratory: stand-ins of outside systems with faults by script, a load
// tool, and the measurements of docs/measurements. It works on loopback addresses alone.
package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"dunespoke/internal/conform"
	"dunespoke/internal/lab/endpoint"
	"dunespoke/internal/lab/faults"
	"dunespoke/internal/lab/idp"
	"dunespoke/internal/lab/load"
)

type commands struct {
	Idp       idpCommand       `cmd:"" help:"Play an authorization server, with faults by script."`
	Endpoint  endpointCommand  `cmd:"" help:"Play an introspection endpoint with a defect."`
	Load      loadCommand      `cmd:"" help:"Ask an introspection front questions, in an open loop."`
	Origin    originCommand    `cmd:"" help:"Play an app server that streams, with faults by script."`
	Proxy     proxyCommand     `cmd:"" help:"Play net/http/httputil.ReverseProxy, for comparison."`
	Transfers transfersCommand `cmd:"" help:"Make transfers of unlike speeds, all at once."`
	Streaming streamingCommand `cmd:"" help:"Measure the streaming front beside ReverseProxy."`
	Payday    paydayCommand    `cmd:"" help:"Measure introspection on a payday."`
	Cluster   clusterCommand   `cmd:"" aliases:"exchange" help:"Time changes of the configuration, with faults."`
	Scale     scaleCommand     `cmd:"" help:"Measure how what control costs grows with the size of a cluster."`
	Decide    decideCommand    `cmd:"" help:"Time decisions in common in virtual time, at large size."`
	Fleet     fleetCommand     `cmd:"" help:"Play a fleet of the program, with faults between processes."`
}

type idpCommand struct {
	Listen  string        `help:"Loopback address." default:"127.0.0.1:8801" env:"DUNESPOKE_LAB_LISTEN"`
	Script  string        `help:"File with the script of faults." type:"existingfile" env:"DUNESPOKE_LAB_SCRIPT"`
	Work    time.Duration `help:"That a question takes." default:"20ms"`
	Workers int           `help:"Questions at work at once." default:"16"`
}

// Run plays the server until told to stop.
func (c *idpCommand) Run(ctx context.Context) error {
	script, err := readScript(c.Script)
	if err != nil {
		return err
	}
	_, end, err := startIdp(c.Listen, idp.Options{Script: script, Work: c.Work, Workers: c.Workers})
	if err != nil {
		return err
	}
	defer end()
	fmt.Println("listening on", c.Listen)
	<-ctx.Done()
	return nil
}

// readScript reads the script of faults in a file; without one, all is well.
func readScript(path string) (faults.Script, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return faults.Parse(string(text))
}

// startIdp plays an authorization server at a loopback address.
func startIdp(addr string, o idp.Options) (s *idp.Server, end func(), err error) {
	end, err = serve(addr, func(addr string) (http.Handler, error) {
		if o.Issuer == "" {
			o.Issuer = "http://" + addr
		}
		var err error
		s, err = idp.New(o)
		return s, err
	})
	return s, end, err
}

// serve has what is made for an address answer at it. Only loopback addresses are taken.
func serve(addr string, made func(addr string) (http.Handler, error)) (end func(), err error) {
	host, _, err := net.SplitHostPort(addr)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("%s: want a loopback address", addr)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	handler, err := made(l.Addr().String())
	if err != nil {
		l.Close()
		return nil, err
	}
	h := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go h.Serve(l)
	return func() { h.Close() }, nil
}

type endpointCommand struct {
	Listen string `help:"Loopback address." default:"127.0.0.1:8802" env:"DUNESPOKE_LAB_LISTEN"`
	Defect string `help:"Number of the requirement that it breaks, as in 7662-12; none: it keeps all."`
}

// Run plays the endpoint until told to stop.
func (c *endpointCommand) Run(ctx context.Context) error {
	if c.Defect != "" && !slices.Contains(conform.IDs(), c.Defect) {
		return fmt.Errorf("%s: no such requirement", c.Defect)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	end, err := serve(c.Listen, func(addr string) (http.Handler, error) {
		return &endpoint.Endpoint{Defect: c.Defect, URL: "http://" + addr, Key: key}, nil
	})
	if err != nil {
		return err
	}
	defer end()
	fmt.Printf("listening on %s; client %q, secret %q, token %q\n", c.Listen, endpoint.ClientID, endpoint.Secret,
		endpoint.Token)
	<-ctx.Done()
	return nil
}

type loadCommand struct {
	URL      string        `arg:"" help:"Where questions are taken, on a loopback address."`
	ID       string        `help:"Client." default:"example-app"`
	Secret   string        `help:"Its secret." default:"try-me" env:"DUNESPOKE_LAB_SECRET"`
	Rate     float64       `help:"Questions a second." default:"100"`
	For      time.Duration `help:"How long." default:"10s"`
	Tokens   int           `help:"Different tokens." default:"5000"`
	Zipf     float64       `help:"Skew of their use, above 1." default:"1.1"`
	Inactive float64       `help:"Part of them that is not active." default:"0.02"`
	Patience time.Duration `help:"Of each asker." default:"3s"`
}

// Run makes the load and prints what became of it.
func (c *loadCommand) Run(ctx context.Context) error {
	r, err := load.Run(ctx, load.Options{URL: c.URL, ID: c.ID, Secret: c.Secret, Rate: c.Rate, For: c.For,
		Tokens: c.Tokens, Zipf: c.Zipf, Patience: c.Patience, Inactive: c.Inactive, Early: 50 * time.Millisecond})
	if err != nil {
		return err
	}
	fmt.Print(tableHead("phase"))
	for _, p := range append(r.Phases, r.Total()) {
		fmt.Print(tableRow(fmt.Sprintf("%v to %v", p.From, p.To), p))
	}
	return nil
}

func main() {
	var c commands
	line := kong.Parse(&c, kong.Name("dunespoke-lab"), kong.UsageOnError(),
		kong.Description("The laboratory of dunespoke, on loopback addresses alone."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	line.BindTo(ctx, (*context.Context)(nil))
	if err := line.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "dunespoke-lab:", err)
		if errors.As(err, &badFile{}) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}
