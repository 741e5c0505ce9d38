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
	Issuer     string `help:"Issuer of the metadata. Default: the URL's host." env:"DUNESPOKE_CONFORM_ISSUER"`
	Client     string `help:"ID of a client with a secret." required:"" env:"DUNESPOKE_CONFORM_CLIENT"`
	Secret     string `help:"Secret of the client." env:"DUNESPOKE_CONFORM_SECRET"`
	Token      string `help:"An active token." required:"" env:"DUNESPOKE_CONFORM_TOKEN"`
	Roots      string `help:"PEM file of root certificates." type:"existingfile" env:"DUNESPOKE_CONFORM_ROOTS"`
	CertClient string `help:"ID of a client that uses a certificate." env:"DUNESPOKE_CONFORM_CERT_CLIENT"`
	Cert       string `help:"PEM file of its certificate." type:"existingfile" env:"DUNESPOKE_CONFORM_CERT"`
	Key        string `help:"PEM file of its private key." type:"existingfile" env:"DUNESPOKE_CONFORM_KEY"`
	JSON       bool   `help:"Print JSON." env:"DUNESPOKE_CONFORM_JSON"`
}

// errNotConforming is returned if a check failed. The results have been printed.
var errNotConforming = errors.New("the endpoint does not meet all requirements")

// Run checks the endpoint and prints the results.
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
			return fmt.Errorf("%s: the file contains no PEM certificate", c.Roots)
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
