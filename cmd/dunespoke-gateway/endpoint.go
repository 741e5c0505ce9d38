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
	callTimeout     = 5 * time.Second // for a call with its answer
	maxResponseSize = message.MaxFrameSize
)

// endpoint is the machine that is called.
type endpoint struct {
	Endpoint string `long:"endpoint" description:"control address of any machine, as in 10.1.0.13:8381"`
	At       string `long:"at" hidden:"true" description:"the old name of --endpoint"`
}

// call makes a call of the control API and returns its answer. An answer that is not 200 is an error with its
// text.
func (e endpoint) call(name string, body []byte) ([]byte, error) {
	addr := cmp.Or(e.Endpoint, e.At)
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
		return nil, trace.ConnectionProblem(err, "%s broke off its answer", addr)
	}
	if response.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("%s answers %s: %s", addr, response.Status, bytes.TrimSpace(text))
	}
	return text, nil
}

// decode reads an answer that is a document.
func (e endpoint) decode(text []byte, into any) error {
	if err := json.Unmarshal(text, into); err != nil {
		return trace.BadParameter("%s does not answer as this program does: %v", cmp.Or(e.Endpoint, e.At), err)
	}
	return nil
}

// query is a call whose answer is a document.
type query struct {
	endpoint
	JSON bool `long:"json" description:"print the answer as it came"`
}

// get makes the call. The answer is read, or, where that is wanted, printed as it came: printed is true then.
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
