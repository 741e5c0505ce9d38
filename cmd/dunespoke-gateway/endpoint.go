package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/message"
)

const (
	callTimeout     = 5 * time.Second // of a call, including its response
	maxResponseSize = message.MaxFrameSize
)

// endpoint is the option that selects the machine to call.
type endpoint struct {
	Endpoint    string `long:"endpoint" description:"control address of any machine, e.g. 10.1.0.13:8381"`
	OldEndpoint string `long:"at" hidden:"true" description:"deprecated name of --endpoint"`
}

// call sends a call to the control API and returns the body of the response. If the status is not 200, it
// returns an error that contains the body.
func (e endpoint) call(name string, body []byte) ([]byte, error) {
	addr := cmp.Or(e.Endpoint, e.OldEndpoint)
	if addr == "" {
		return nil, trace.BadParameter("the required flag `--endpoint' was not specified")
	}
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	url := "http://" + addr + "/api/rpc?call=" + name
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, trace.BadParameter("--endpoint %s: %v", addr, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s does not answer", addr)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s closed the connection before its response was complete", addr)
	}
	if response.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("%s responded with %s: %s", addr, response.Status, bytes.TrimSpace(text))
	}
	return text, nil
}

// decode decodes a JSON response.
func (e endpoint) decode(text []byte, into any) error {
	if err := json.Unmarshal(text, into); err != nil {
		return trace.BadParameter("%s sent an invalid response: %v", cmp.Or(e.Endpoint, e.OldEndpoint), err)
	}
	return nil
}

// query is a call with a JSON response.
type query struct {
	endpoint
	JSON bool `long:"json" description:"print the response as received, JSON"`
}

// get sends the call and decodes the response. With --json it prints the response as received instead, and
// printed is true.
func (q query) get(name string, into any) (printed bool, err error) {
	text, err := q.call(name, nil)
	if err != nil {
		return false, err
	}
	if q.JSON {
		_, err = os.Stdout.Write(append(text, '\n'))
		return true, trace.Wrap(err)
	}
	return false, q.decode(text, into)
}
