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

// ClassName is the name of the request class of introspection queries. They are safe to retry.
const ClassName = "introspection"

// Class returns the request class of introspection queries.
func Class(aim, deadline time.Duration) choice.Class {
	return choice.Class{Name: ClassName, Repeat: choice.Safe, Aim: aim, Deadline: deadline, Worth: 1}
}

// Service describes how to query an introspection service.
type Service struct {
	Path       string
	Host       string     // for the Host header; if empty, the server's address is used
	Credential Credential // nil for queries without authentication
}

// message is one query to a service, shared by all its attempts. It implements forward.Message.
type message struct {
	service     *Service
	token, hint string
	started     atomic.Int32 // attempts started
	completed   atomic.Int32 // attempts that ended neither cancelled nor skipped
}

// Append appends the HTTP request to buf.
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
			authorization = "" // the service rejects the query, which then counts as an error of the service
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

// Token is the introspection result for a token.
type Token struct {
	Active  bool          `json:"active"`
	Expires time.Duration `json:"-"` // Unix time at which it expires; zero if not reported
	Date    time.Duration `json:"-"` // Unix time in the Date header of the response; zero if missing
	Text    []byte        `json:"-"` // the complete JSON response of the service
}

var errMissingActive = errors.New(`the introspection response lacks "active"`)

// Judge classifies a response of a service. Only a complete, well-formed response with status 200 is a result
// for a token, with a *Token as body. Every other response is an error of the service, or reports that it is
// busy, and is never interpreted as an inactive token.
func Judge(r *http1.Response) core.Result {
	switch r.StatusCode {
	case http.StatusOK:
		token, err := decodeToken(r.Content)
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

// decodeToken parses an introspection response. It ignores an "exp" that is not a plausible Unix time.
func decodeToken(text []byte) (*Token, error) {
	var body struct {
		Active *bool    `json:"active"`
		Exp    *float64 `json:"exp"`
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, err
	}
	if body.Active == nil {
		return nil, errMissingActive
	}
	token := &Token{Active: *body.Active, Text: text}
	if body.Exp != nil && *body.Exp > 0 && *body.Exp < 9e9 {
		token.Expires = time.Duration(*body.Exp * float64(time.Second))
	}
	return token, nil
}
