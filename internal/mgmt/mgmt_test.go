package mgmt

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
)

func TestAnswerEncoding(t *testing.T) {
	for want, a := range map[string]Answer{
		"SUCCESS\n":                 {OK: true},
		"FAILURE unknown id s9\n":   Fail("unknown id %s", "s9"),
		"SUCCESS\n{\"a\":1}\nEOT\n": {OK: true, Lines: []string{`{"a":1}`, "EOT"}},
		"{\"a\":1}\nEOT\n":          {OK: true, Report: true, Lines: []string{`{"a":1}`, "EOT"}},
		"FAILURE no figures\nEOT\n": {Report: true, Reason: "no figures", Lines: []string{"EOT"}},
		"SUCCESS already offline\n": {OK: true, Reason: "already offline"},
	} {
		if got := string(a.Append(nil)); got != want {
			t.Errorf("%+v: %q, want %q", a, got, want)
		}
	}
}

func TestCallSplitsWords(t *testing.T) {
	var verb string
	var args []string
	h := func(v string, a []string) Answer { verb, args = v, a; return Answer{OK: true} }
	if a := Call("  offline   s3 \t", h); !a.OK || verb != "OFFLINE" || len(args) != 1 || args[0] != "s3" {
		t.Errorf("%+v: %q %q", a, verb, args)
	}
	if a := Call("   ", h); a.OK {
		t.Error("an empty command succeeded")
	}
}

// Each connection gets one reply. A client that sends nothing must not delay others, and a line that is too
// long is refused.
func TestEachConnectionGetsOneReply(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		ended <- Serve(ctx, l, func(v string, a []string) Answer {
			if v == "HEALTH" {
				return Answer{OK: true}
			}
			return Fail("unknown call")
		})
	}()
	silent, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	for line, want := range map[string]string{
		"HEALTH\n":                           "SUCCESS\n",
		"HEALTH":                             "SUCCESS\n", // closed without a newline
		"NOPE\n":                             "FAILURE unknown call\n",
		string(make([]byte, 2*maxLineBytes)): "FAILURE a call is one line of at most 1024 bytes\n",
	} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, line)
		if line == "HEALTH" {
			c.(*net.TCPConn).CloseWrite()
		}
		got, err := bufio.NewReader(c).ReadString('\n')
		if got != want {
			t.Errorf("%.10q: %q, %v; want %q", line, got, err, want)
		}
		c.Close()
	}
	end()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
