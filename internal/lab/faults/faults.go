// Package faults reads scripts of faults by time, for stand-ins of outside systems. It knows no clock and no
// wire: a stand-in asks what is wrong at a moment since its start. A script has a step on each line:
//
//	at 10s for 15s slow x5        answers take five times as long
//	at 25s for 10s silent         no answer at all
//	at 40s for 5s reset 30%       the connection is reset, for 30% of the requests
//	at 50s for 5s half            half an answer, then the connection ends
//	at 60s for 5s garbage         an answer that is not well-formed
//	at 70s for 5s status 500      an answer with that status
//	at 80s rotate                 a new signing key, the old one for a while beside it
//	at 90s for 5s expired         connections show a certificate that has expired
//	at 99s for 5s skew -5s        its clock is 5 s behind
//
// Without "for" a step lasts for ever. Where steps overlap, the later line counts. "#" begins a comment.
package faults

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Kind is what is wrong.
type Kind string

// The kinds of faults.
const (
	Slow    Kind = "slow"
	Silent  Kind = "silent"
	Reset   Kind = "reset"
	Half    Kind = "half"
	Garbage Kind = "garbage"
	Status  Kind = "status"
	Rotate  Kind = "rotate"
	Expired Kind = "expired"
	Skew    Kind = "skew"
)

// Step is one line of a script.
type Step struct {
	From, To time.Duration // since the start; To is not part of it
	Kind     Kind
	Factor   float64       // of Slow
	Status   int           // of Status
	Skew     time.Duration // of Skew
	Share    float64       // of the requests that it befalls
}

// Script is a list of steps.
type Script []Step

// forever is the end of steps that have none.
const forever = time.Duration(1<<63 - 1)

// At returns the fault that a request meets at a moment. chance, from 0 up to 1, is its own. ok is false if
// all is well with it.
func (s Script) At(now time.Duration, chance float64) (step Step, ok bool) {
	for _, x := range s {
		if x.From <= now && now < x.To && x.Kind != Rotate && x.Kind != Skew && chance < x.Share {
			step, ok = x, true
		}
	}
	return step, ok
}

// Ahead tells how far the clock is ahead at a moment.
func (s Script) Ahead(now time.Duration) (ahead time.Duration) {
	for _, x := range s {
		if x.Kind == Skew && x.From <= now && now < x.To {
			ahead = x.Skew
		}
	}
	return ahead
}

// Rotations tells how often the key has been changed by a moment.
func (s Script) Rotations(now time.Duration) (n int) {
	for _, x := range s {
		if x.Kind == Rotate && x.From <= now {
			n++
		}
	}
	return n
}

// The grammar, as participle has it.
type (
	grammar struct {
		Lines []*line `parser:"EOL* ( @@ ( EOL+ | EOF ) )*"`
	}
	line struct {
		Pos    lexer.Position
		At     string `parser:"'at' @Time"`
		For    string `parser:"( 'for' @Time )?"`
		Kind   string `parser:"@( 'slow' | 'silent' | 'reset' | 'half' | 'garbage' | 'status' | 'rotate'"`
		Kind2  string `parser:"| 'expired' | 'skew' )"`
		Factor string `parser:"@Factor?"`
		Number string `parser:"@Number?"`
		Skew   string `parser:"@Time?"`
		Share  string `parser:"@Percent?"`
	}
)

var parser = participle.MustBuild[grammar](participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Time", Pattern: `-?\d+(\.\d+)?(ms|s|m)\b`},
	{Name: "Factor", Pattern: `x\d+(\.\d+)?`},
	{Name: "Percent", Pattern: `\d+(\.\d+)?%`},
	{Name: "Number", Pattern: `\d+`},
	{Name: "Word", Pattern: `[a-z]+`},
	{Name: "EOL", Pattern: `\n`},
	{Name: "Blank", Pattern: `[ \t\r]+`},
})), participle.Elide("Comment", "Blank"))

// Parse reads a script. Errors name the line.
func Parse(text string) (Script, error) {
	g, err := parser.ParseString("", text)
	if err != nil {
		return nil, fmt.Errorf("script of faults: %w", err)
	}
	var s Script
	for _, l := range g.Lines {
		step, err := l.step()
		if err != nil {
			return nil, fmt.Errorf("script of faults: %d: %w", l.Pos.Line, err)
		}
		s = append(s, step)
	}
	return s, nil
}

// What a step may say beside its times.
var (
	errFactor = errors.New("slow wants a factor from x1 to x1000, and nothing else has one")
	errStatus = errors.New("status wants one from 200 to 599, and nothing else has one")
	errSkew   = errors.New("skew wants a time, and nothing else has one")
	errShare  = errors.New("a share is above 0% and up to 100%")
	errTimes  = errors.New("times before a minute from the start or over a day make no sense")
)

func (l *line) step() (Step, error) {
	s := Step{Kind: Kind(l.Kind + l.Kind2), To: forever, Share: 1}
	var err1, err2, err3 error
	s.From, err1 = time.ParseDuration(l.At)
	if l.For != "" {
		s.To, err2 = time.ParseDuration(l.For)
		s.To += s.From
	}
	if l.Skew != "" {
		s.Skew, err3 = time.ParseDuration(l.Skew)
	}
	if err := errors.Join(err1, err2, err3); err != nil {
		return s, err
	}
	const day = 24 * time.Hour
	switch {
	case s.From < 0 || s.From > day || s.To <= s.From || s.To > 2*day && s.To != forever:
		return s, errTimes
	case (s.Kind == Skew) != (l.Skew != ""):
		return s, errSkew
	case (s.Kind == Slow) != (l.Factor != ""):
		return s, errFactor
	case (s.Kind == Status) != (l.Number != ""):
		return s, errStatus
	}
	if s.Kind == Slow {
		s.Factor, _ = strconv.ParseFloat(l.Factor[1:], 64)
		if !(s.Factor >= 1 && s.Factor <= 1000) {
			return s, errFactor
		}
	}
	if s.Kind == Status {
		s.Status, _ = strconv.Atoi(l.Number)
		if s.Status < 200 || s.Status > 599 {
			return s, errStatus
		}
	}
	if l.Share != "" {
		percent, _ := strconv.ParseFloat(strings.TrimSuffix(l.Share, "%"), 64)
		if s.Share = percent / 100; !(s.Share > 0 && s.Share <= 1) {
			return s, errShare
		}
	}
	return s, nil
}
