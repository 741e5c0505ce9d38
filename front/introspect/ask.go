package introspect

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
)

// ClassName is the class under which the gate counts and times questions. It is safe to repeat.
const ClassName = "introspection"

// Class returns the gate's class of questions.
func Class(aim, deadline time.Duration) choice.Class {
	return choice.Class{Name: ClassName, Repeat: choice.Safe, Aim: aim, Deadline: deadline, Worth: 1}
}

// Service says how the introspection service is asked.
type Service struct {
	Path     string
	ClientID string // what this program is known as there; empty: it asks without credentials
	Secret   string
}

// question is one question to the service. It is a forward.Message.
type question struct {
	service     *Service
	token, hint string
}

// Append writes the question.
func (q *question) Append(buf []byte, s core.Server, wait time.Duration) []byte {
	form := url.Values{"token": {q.token}}
	if q.hint != "" {
		form.Set("token_type_hint", q.hint)
	}
	body := form.Encode()
	buf = append(buf, "POST "...)
	buf = append(buf, q.service.Path...)
	buf = append(buf, " HTTP/1.1\r\n"...)
	buf = http1.AppendHeader(buf, "Host", s.Addr)
	buf = http1.AppendHeader(buf, "Accept", "application/json")
	buf = http1.AppendHeader(buf, "Content-Type", "application/x-www-form-urlencoded")
	if q.service.ClientID != "" {
		pair := url.QueryEscape(q.service.ClientID) + ":" + url.QueryEscape(q.service.Secret)
		buf = http1.AppendHeader(buf, "Authorization", "Basic "+base64.StdEncoding.EncodeToString([]byte(pair)))
	}
	buf = http1.AppendHeader(buf, "Content-Length", strconv.Itoa(len(body)))
	buf = append(buf, "\r\n"...)
	return append(buf, body...)
}

// Token is what the service says of a token.
type Token struct {
	Active  bool          `json:"active"`
	Expires time.Duration `json:"-"` // Unix time from which it is not active any more; 0: not told
	Text    []byte        `json:"-"` // the service's whole answer
}

// Judge says what a response of the service means. Only a whole, well-formed answer says anything of a token;
// whatever else comes back is a fault of the service, and never taken for an inactive token.
func Judge(r *http1.Response) core.Result {
	switch r.StatusCode {
	case http.StatusOK:
		token, err := decode(r.Content)
		if err != nil {
			return core.Result{Code: choice.Error}
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
