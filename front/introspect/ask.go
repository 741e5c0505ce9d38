package introspect

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
)

// ClassName is the class under which the gates count and time questions. It is safe to repeat.
const ClassName = "introspection"

// Class returns the gates' class of questions.
func Class(aim, deadline time.Duration) choice.Class {
	return choice.Class{Name: ClassName, Repeat: choice.Safe, Aim: aim, Deadline: deadline, Worth: 1}
}

// Service says how an introspection service is asked.
type Service struct {
	Path       string
	Host       string     // for the Host header; empty: the address of the server
	Credential Credential // nil: it asks without one
}

// message is one question as it goes to a service. It is a forward.Message.
type message struct {
	service     *Service
	token, hint string
	begun       atomic.Int32 // attempts begun
	sent        atomic.Int32 // attempts that said something of the service
}

// Append writes the question.
func (m *message) Append(buf []byte, s core.Server, _ time.Duration) []byte {
	form := url.Values{"token": {m.token}}
	if m.hint != "" {
		form.Set("token_type_hint", m.hint)
	}
	host := m.service.Host
	if host == "" {
		host = s.Addr
	}
	authorization := ""
	if m.service.Credential != nil {
		var err error
		if authorization, err = m.service.Credential(form); err != nil {
			authorization = "" // the service refuses the question, which then counts as its error
		}
	}
	body := form.Encode()
	buf = append(buf, "POST "...)
	buf = append(buf, m.service.Path...)
	buf = append(buf, " HTTP/1.1\r\n"...)
	buf = http1.AppendHeader(buf, "Host", host)
	buf = http1.AppendHeader(buf, "Accept", "application/json")
	buf = http1.AppendHeader(buf, "Content-Type", "application/x-www-form-urlencoded")
	if authorization != "" {
		buf = http1.AppendHeader(buf, "Authorization", authorization)
	}
	buf = http1.AppendHeader(buf, "Content-Length", strconv.Itoa(len(body)))
	buf = append(buf, "\r\n"...)
	return append(buf, body...)
}

// Token is what a service says of a token.
type Token struct {
	Active  bool          `json:"active"`
	Expires time.Duration `json:"-"` // Unix time from which it is not active any more; 0: not told
	Date    time.Duration `json:"-"` // the service's Unix time with its answer; 0: not told
	Text    []byte        `json:"-"` // the service's whole answer
}

var errNoActive = errors.New(`the answer has no "active"`)

// Judge says what a response of a service means. Only a whole, well-formed answer says anything of a token;
// whatever else comes back is a fault of the service, and never taken for an inactive token.
func Judge(r *http1.Response) core.Result {
	switch r.StatusCode {
	case http.StatusOK:
		token, err := decode(r.Content)
		if err != nil {
			return core.Result{Code: choice.Error}
		}
		if date, err := http.ParseTime(r.Header.Get("Date")); err == nil && date.Unix() > 0 {
			token.Date = time.Duration(date.UnixNano())
		}
		return core.Result{Code: choice.OK, Body: token}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return core.Result{Code: choice.Busy}
	}
	return core.Result{Code: choice.Error}
}

func decode(text []byte) (*Token, error) {
	var told struct {
		Active *bool    `json:"active"`
		Exp    *float64 `json:"exp"`
	}
	if err := json.Unmarshal(text, &told); err != nil {
		return nil, err
	}
	if told.Active == nil {
		return nil, errNoActive
	}
	token := &Token{Active: *told.Active, Text: text}
	if told.Exp != nil && *told.Exp > 0 && *told.Exp < 9e9 {
		token.Expires = time.Duration(*told.Exp * float64(time.Second))
	}
	return token, nil
}
