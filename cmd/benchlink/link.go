package main

import (
	"bufio"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"dunespoke/choice"
	"dunespoke/internal/config"
)

// link holds the gates of all instances and the lists that events refer to.
type link struct {
	out     *bufio.Writer
	open    bool // inside a batch
	now     time.Duration
	gates   map[int]*choice.Gate
	rosters map[int][]choice.Backend
	filling int // roster that BACKEND lines go to
	missing int // BACKEND lines still to come
}

func newLink(out *bufio.Writer) *link {
	return &link{out: out, gates: map[int]*choice.Gate{}, rosters: map[int][]choice.Backend{}}
}

// line takes one line of input and reports whether a reply is complete.
func (l *link) line(text string) (flush bool, err error) {
	name, rest, _ := strings.Cut(text, "\t")
	f := &fields{message: name, rest: rest, left: name != text}
	switch {
	case name == "FRAME":
		if l.open {
			return false, fmt.Errorf("FRAME inside a batch: COMMIT is missing")
		}
		l.open = true
		now := f.ms("clock")
		if f.err == nil && now < l.now {
			return false, fmt.Errorf("FRAME: field clock goes backwards")
		}
		l.now = now
		return false, f.end()
	case !l.open:
		return false, fmt.Errorf("%.40q outside a batch: FRAME is missing", name)
	case l.missing > 0 && name != "BACKEND":
		return false, fmt.Errorf("%.40q where a BACKEND line is due", name)
	case name == "COMMIT":
		l.open = false
		l.out.WriteString("ACK\n")
		return true, f.end()
	}
	return false, l.event(name, f)
}

// messages are the events of a single instance.
var messages = map[string]bool{"BEGIN": true, "KILL": true, "BACKENDS_CHANGED": true, "REQUEST": true,
	"HEAD_RECEIVED": true, "VERDICT": true, "LEFT": true, "REMINDER": true, "HEALTH": true, "MAIL": true,
	"TOTAL": true}

// event decodes one event and hands it to its gate.
func (l *link) event(name string, f *fields) error {
	switch name {
	case "REGISTER":
		l.filling, l.missing = f.integer("roster_id"), f.integer("nodes_list")
		if f.err == nil && (l.missing < 0 || l.missing > 1<<20) {
			return fmt.Errorf("REGISTER: field nodes_list: %d is out of range", l.missing)
		}
		l.rosters[l.filling] = nil
		return f.end()
	case "BACKEND":
		return l.backend(f)
	}
	if !messages[name] {
		return fmt.Errorf("unknown message %.40q", name)
	}
	who := f.integer("who")
	if name == "BEGIN" {
		return l.begin(who, f)
	}
	gate := l.gates[who]
	if f.err == nil && gate == nil {
		return fmt.Errorf("%.40s: field who: instance %d has not begun", name, who)
	}
	switch name {
	case "KILL":
		delete(l.gates, who)
	case "BACKENDS_CHANGED":
		scope, roster := f.text("scope"), f.integer("roster_id")
		f.integer("index")
		list, known := l.rosters[roster]
		switch {
		case f.err != nil || scope == "failed":
		case scope != "delta" && scope != "full" && scope != "cached":
			return fmt.Errorf("BACKENDS_CHANGED: field scope: unknown value %.40q", scope)
		case !known:
			return fmt.Errorf("BACKENDS_CHANGED: field roster_id: list %d was not registered", roster)
		default:
			gate.Backends(l.now, scope != "delta", list)
		}
	case "REQUEST":
		r := choice.Request{ID: f.id("op_id"), Spread: int(f.number("spread"))}
		r.Again = f.flag("retry")
		r.Class = f.text("service")
		f.flag("mutates")
		r.Customer, r.Plan, r.Deadline = f.id("member"), f.text("plan"), f.ms("give_up_at")
		r.Units = f.number("price_units")
		f.number("from_no")
		if f.err == nil {
			gate.Request(l.now, r)
		}
	case "HEAD_RECEIVED": // only the end of a streamed answer counts
		f.id("op_id")
		f.ms("wait_time")
		f.integer("send_no")
		f.id("backend")
	case "VERDICT":
		o := choice.Outcome{Request: f.id("op_id"), Attempt: f.integer("send_no"), Backend: f.id("backend")}
		o.Code, o.Took, o.Ended = f.code("rc"), f.ms("wait_time"), f.flag("ended")
		f.number("quota_use")
		o.Units, o.Load = f.number("actual"), f.numbers("metrics")
		if f.err == nil {
			gate.Outcome(l.now, o)
		}
	case "LEFT":
		if id := f.id("op_id"); f.err == nil {
			gate.Left(l.now, id)
		}
	case "REMINDER":
		f.text("cookie")
		if f.err == nil {
			gate.Wake(l.now)
		}
	case "HEALTH": // the gate asks for no probes
		f.ms("wait_time")
		f.id("backend")
		f.code("rc")
		f.numbers("metrics")
	case "MAIL": // the gate has no peers
		f.integer("sender")
		f.text("msg")
	case "TOTAL":
		key, code, total := f.text("counter_key"), f.code("rc"), f.number("now_at")
		f.ms("wait_time")
		if f.err == nil {
			gate.Counted(l.now, key, code, total)
		}
	}
	return f.end()
}

func (l *link) begin(who int, f *fields) error {
	seed, conf := f.id("entropy"), f.remainder("conf")
	if f.err != nil {
		return f.err
	}
	s, err := config.DecodeSettings([]byte(conf))
	if err != nil {
		return fmt.Errorf("BEGIN: field conf: %w", err)
	}
	gate, err := choice.New(s, seed, actions{l, who})
	if err != nil {
		return fmt.Errorf("BEGIN: field conf: %w", err)
	}
	l.gates[who] = gate
	return nil
}

func (l *link) backend(f *fields) error {
	if l.missing == 0 {
		return fmt.Errorf("BACKEND without a REGISTER that announces it")
	}
	l.missing--
	b := choice.Backend{ID: f.id("backend"), Zone: f.text("failure_domain")}
	b.Key = b.ID
	f.text("sku")
	b.Cell = f.integer("cell")
	switch state := f.text("state"); {
	case f.err != nil:
	case state == "live":
		b.State = choice.Live
	case state == "quiescing":
		b.State = choice.Draining
	case state == "dead":
		b.State = choice.Gone
	default:
		return fmt.Errorf("BACKEND: field state: unknown value %.40q", state)
	}
	b.Weight, b.Started = f.number("scale"), f.ms("start_time")
	l.rosters[l.filling] = append(l.rosters[l.filling], b)
	return f.end()
}

// actions writes the actions of one instance.
type actions struct {
	l   *link
	who int
}

func (a actions) put(format string, args ...any) { fmt.Fprintf(a.l.out, format, args...) }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (a actions) Send(request, backend uint64, timeout time.Duration) {
	a.put("SUBMIT_TO\t%d\t%d\t%d\t%.3f\n", a.who, request, backend, ms(timeout))
}

func (a actions) Cancel(request uint64, attempt int) {
	a.put("STOP_ATTEMPT\t%d\t%d\t%d\n", a.who, request, attempt)
}

func (a actions) Refuse(request uint64, retryAfter time.Duration) {
	a.put("OVERLOAD_REPLY\t%d\t%d\t%.3f\n", a.who, request, ms(retryAfter))
}

func (a actions) Fail(request uint64)      { a.put("ERROR\t%d\t%d\n", a.who, request) }
func (a actions) Wake(delay time.Duration) { a.put("SLEEP\t%d\t%.3f\twake\n", a.who, ms(delay)) }
func (a actions) Log(line string)          { a.put("REMARK\t%d\t%s\n", a.who, line) }

func (a actions) Add(name string, amount float64, keep time.Duration) {
	a.put("ADD_TO\t%d\t%s\t%s\t%.3f\n", a.who, name, strconv.FormatFloat(amount, 'f', -1, 64), ms(keep))
}

// fields reads the values of one line in order and keeps the first error.
type fields struct {
	message, rest string
	left          bool
	err           error
}

func (f *fields) text(field string) string {
	if f.err != nil {
		return ""
	}
	if !f.left {
		f.err = fmt.Errorf("%s: field %s is missing", f.message, field)
		return ""
	}
	var v string
	v, f.rest, f.left = strings.Cut(f.rest, "\t")
	return v
}

func (f *fields) remainder(field string) string {
	v := f.rest
	if !f.left {
		return f.text(field)
	}
	f.left = false
	return v
}

func (f *fields) bad(field, value, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: field %s: %.40q is not %s", f.message, field, value, want)
	}
}

// number reads a finite number; an absent one reads as 0.
func (f *fields) number(field string) float64 {
	v := f.text(field)
	if f.err != nil || v == "-" {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.Abs(n) > 1e15 {
		f.bad(field, v, "a number")
	}
	return n
}

func (f *fields) numbers(field string) []float64 {
	v := f.text(field)
	if f.err != nil || v == "-" || v == "" {
		return nil
	}
	var all []float64
	for _, part := range strings.Split(v, ",") {
		n, err := strconv.ParseFloat(part, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			f.bad(field, v, "a list of numbers")
			return nil
		}
		all = append(all, n)
	}
	return all
}

func (f *fields) ms(field string) time.Duration {
	n := f.number(field)
	if math.Abs(n) > 1e12 {
		f.bad(field, strconv.FormatFloat(n, 'g', -1, 64), "a time in range")
		return 0
	}
	return time.Duration(math.Round(n*1000)) * time.Microsecond
}

func (f *fields) integer(field string) int {
	v := f.text(field)
	n, err := strconv.Atoi(v)
	if f.err == nil && err != nil {
		f.bad(field, v, "an integer")
	}
	return n
}

func (f *fields) id(field string) uint64 {
	v := f.text(field)
	n, err := strconv.ParseUint(v, 10, 64)
	if f.err == nil && err != nil {
		f.bad(field, v, "an id")
	}
	return n
}

func (f *fields) flag(field string) bool {
	v := f.text(field)
	if f.err == nil && v != "0" && v != "1" && v != "-" {
		f.bad(field, v, "a bool")
	}
	return v == "1"
}

var codes = map[string]choice.Code{
	"done": choice.OK, "err": choice.Error, "busy": choice.Busy, "etimedout": choice.TimedOut,
	"econnrefused": choice.Refused, "econnreset": choice.Reset, "ecanceled": choice.Cancelled,
	"skipped": choice.Skipped,
}

func (f *fields) code(field string) choice.Code {
	v := f.text(field)
	c, ok := codes[v]
	if f.err == nil && !ok {
		f.bad(field, v, "an ending")
	}
	return c
}

func (f *fields) end() error {
	if f.err == nil && f.left {
		f.err = fmt.Errorf("%s: more values than fields, from %.40q on", f.message, f.rest)
	}
	return f.err
}
