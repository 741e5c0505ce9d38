package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"dunespoke/internal/conform"
)

type conformCommand struct {
	URL        string `help:"The introspection endpoint." required:"" env:"DUNESPOKE_CONFORM_URL"`
	Issuer     string `help:"Whose metadata is read; else the URL's host." env:"DUNESPOKE_CONFORM_ISSUER"`
	Client     string `help:"A client with a secret." required:"" env:"DUNESPOKE_CONFORM_CLIENT"`
	Secret     string `help:"Its secret." env:"DUNESPOKE_CONFORM_SECRET"`
	Token      string `help:"A token that is active." required:"" env:"DUNESPOKE_CONFORM_TOKEN"`
	Roots      string `help:"PEM file of roots." type:"existingfile" env:"DUNESPOKE_CONFORM_ROOTS"`
	CertClient string `help:"A client that authenticates by a certificate." env:"DUNESPOKE_CONFORM_CERT_CLIENT"`
	Cert       string `help:"PEM file of its certificate." type:"existingfile" env:"DUNESPOKE_CONFORM_CERT"`
	Key        string `help:"PEM file of its key." type:"existingfile" env:"DUNESPOKE_CONFORM_KEY"`
	JSON       bool   `help:"Print JSON." env:"DUNESPOKE_CONFORM_JSON"`
}

// errNotConforming says that a check failed, which has been told.
var errNotConforming = errors.New("the endpoint does not keep all requirements")

// Run checks the endpoint and prints what was found.
func (c *conformCommand) Run(out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	target := conform.Target{URL: c.URL, Issuer: c.Issuer, ClientID: c.Client, Secret: c.Secret, Token: c.Token,
		CertClient: c.CertClient}
	if c.Roots != "" {
		text, err := os.ReadFile(c.Roots)
		if err != nil {
			return err
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(text) {
			return fmt.Errorf("%s: no certificate in it", c.Roots)
		}
		target.TLS = &tls.Config{RootCAs: roots}
	}
	if c.Cert != "" {
		cert, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			return err
		}
		target.Cert = &cert
	}
	report, err := conform.Run(ctx, target)
	if err != nil {
		return err
	}
	write := report.WriteTable
	if c.JSON {
		write = report.WriteJSON
	}
	if err := write(out); err != nil {
		return err
	}
	if report.Failed() {
		return errNotConforming
	}
	return nil
}
