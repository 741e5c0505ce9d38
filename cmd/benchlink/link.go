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

// adapter translates the simulator's events into calls of one gate per instance, and the gates' actions into
// output lines. It is not safe for concurrent use.
type adapter struct {
	out         *bufio.Writer
	inBatch     bool                     // a FRAME line was read, and its COMMIT line was not
	now         time.Duration            // clock of the current batch
	gates       map[int]*choice.Gate     // by instance
	rosters     map[int][]choice.Backend // registered backend lists, by roster_id
	registering int                      // roster_id of the list to which BACKEND lines are appended
	backendsDue int                      // BACKEND lines of that list that are still expected
}

func newAdapter(out *bufio.Writer) *adapter {
	return &adapter{out: out, gates: map[int]*choice.Gate{}, rosters: map[int][]choice.Backend{}}
}

// handleLine processes one input line. It reports whether the line completes a batch, so that the output must
// be flushed.
func (a *adapter) handleLine(text string) (batchComplete bool, err error) {
	name, rest, _ := strings.Cut(text, "\t")
	f := &fieldReader{message: name, rest: rest, more: name != text}
	switch {
	case name == "FRAME":
		if a.inBatch {
			return false, fmt.Errorf("FRAME inside a batch: COMMIT is missing")
		}
		a.inBatch = true
		now := f.duration("clock")
		if f.err == nil && now < a.now {
			return false, fmt.Errorf("FRAME: field clock goes backwards")
		}
		a.now = now
		return false, f.finish()
	case !a.inBatch:
		return false, fmt.Errorf("%.40q outside a batch: FRAME is missing", name)
	case a.backendsDue > 0 && name != "BACKEND":
		return false, fmt.Errorf("%.40q where a BACKEND line is expected", name)
	case name == "COMMIT":
		a.inBatch = false
		a.out.WriteString("ACK\n")
		return true, f.finish()
	}
	return false, a.handleEvent(name, f)
}

// instanceMessages are the messages that address one instance, by their field who.
var instanceMessages = map[string]bool{"BEGIN": true, "KILL": true, "BACKENDS_CHANGED": true, "REQUEST": true,
	"HEAD_RECEIVED": true, "VERDICT": true, "LEFT": true, "REMINDER": true, "HEALTH": true, "MAIL": true,
	"TOTAL": true}

// handleEvent decodes one message and passes it to its instance's gate. Fields that the gate does not use are
// read and checked too, because values are identified by their order.
func (a *adapter) handleEvent(name string, f *fieldReader) error {
	switch name {
	case "REGISTER":
		a.registering, a.backendsDue = f.integer("roster_id"), f.integer("nodes_list")
		if f.err == nil && (a.backendsDue < 0 || a.backendsDue > 1<<20) {
			return fmt.Errorf("REGISTER: field nodes_list: %d is out of range", a.backendsDue)
		}
		a.rosters[a.registering] = nil
		return f.finish()
	case "BACKEND":
		return a.addBackend(f)
	}
	if !instanceMessages[name] {
		return fmt.Errorf("unknown message %.40q", name)
	}
	instance := f.integer("who")
	if name == "BEGIN" {
		return a.beginInstance(instance, f)
	}
	gate := a.gates[instance]
	if f.err == nil && gate == nil {
		return fmt.Errorf("%.40s: field who: instance %d has not begun", name, instance)
	}
	switch name {
	case "KILL":
		delete(a.gates, instance)
	case "BACKENDS_CHANGED":
		scope, rosterID := f.text("scope"), f.integer("roster_id")
		f.integer("index")
		backends, registered := a.rosters[rosterID]
		switch {
		case f.err != nil || scope == "failed":
		case scope != "delta" && scope != "full" && scope != "cached":
			return fmt.Errorf("BACKENDS_CHANGED: field scope: unknown value %.40q", scope)
		case !registered:
			return fmt.Errorf("BACKENDS_CHANGED: field roster_id: list %d was not registered", rosterID)
		default:
			gate.Backends(a.now, scope != "delta", backends)
		}
	case "REQUEST":
		r := choice.Request{ID: f.id("op_id"), Spread: int(f.number("spread"))}
		r.Again = f.flag("retry")
		r.Class = f.text("service")
		f.flag("mutates")
		r.Customer, r.Plan, r.Deadline = f.id("member"), f.text("plan"), f.duration("give_up_at")
		r.Units = f.number("price_units")
		f.number("from_no")
		if f.err == nil {
			gate.Request(a.now, r)
		}
	case "HEAD_RECEIVED": // the gate uses only the end of a streamed response
		f.id("op_id")
		f.duration("wait_time")
		f.integer("send_no")
		f.id("backend")
	case "VERDICT":
		o := choice.Outcome{Request: f.id("op_id"), Attempt: f.integer("send_no"), Backend: f.id("backend")}
		o.Code, o.Took, o.Ended = f.code("rc"), f.duration("wait_time"), f.flag("ended")
		f.number("quota_use")
		o.Units, o.Load = f.number("actual"), f.numbers("metrics")
		if f.err == nil {
			gate.Outcome(a.now, o)
		}
	case "LEFT":
		if id := f.id("op_id"); f.err == nil {
			gate.Left(a.now, id)
		}
	case "REMINDER":
		f.text("cookie")
		if f.err == nil {
			gate.Wake(a.now)
		}
	case "HEALTH": // the gate requests no health probes
		f.duration("wait_time")
		f.id("backend")
		f.code("rc")
		f.numbers("metrics")
	case "MAIL": // the gate exchanges no messages with other instances
		f.integer("sender")
		f.text("msg")
	case "TOTAL":
		key, code, total := f.text("counter_key"), f.code("rc"), f.number("now_at")
		f.duration("wait_time")
		if f.err == nil {
			gate.Counted(a.now, key, code, total)
		}
	}
	return f.finish()
}

// beginInstance creates the gate of an instance, and replaces one that it had.
func (a *adapter) beginInstance(instance int, f *fieldReader) error {
	seed, conf := f.id("entropy"), f.remainder("conf")
	if f.err != nil {
		return f.err
	}
	s, err := config.DecodeSettings([]byte(conf))
	if err != nil {
		return fmt.Errorf("BEGIN: field conf: %w", err)
	}
	gate, err := choice.New(s, seed, actions{a, instance})
	if err != nil {
		return fmt.Errorf("BEGIN: field conf: %w", err)
	}
	a.gates[instance] = gate
	return nil
}

// addBackend appends one backend to the list that the last REGISTER announced.
func (a *adapter) addBackend(f *fieldReader) error {
	if a.backendsDue == 0 {
		return fmt.Errorf("BACKEND line that no REGISTER announced")
	}
	a.backendsDue--
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
	b.Weight, b.Started = f.number("scale"), f.duration("start_time")
	a.rosters[a.registering] = append(a.rosters[a.registering], b)
	return f.finish()
}

// actions implements choice.Actions for one instance: each action is an output line.
type actions struct {
	adapter  *adapter
	instance int
}

func (a actions) write(format string, args ...any) { fmt.Fprintf(a.adapter.out, format, args...) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (a actions) Send(request, backend uint64, timeout time.Duration) {
	a.write("SUBMIT_TO\t%d\t%d\t%d\t%.3f\n", a.instance, request, backend, milliseconds(timeout))
}

func (a actions) Cancel(request uint64, attempt int) {
	a.write("STOP_ATTEMPT\t%d\t%d\t%d\n", a.instance, request, attempt)
}

func (a actions) Refuse(request uint64, retryAfter time.Duration) {
	a.write("OVERLOAD_REPLY\t%d\t%d\t%.3f\n", a.instance, request, milliseconds(retryAfter))
}

func (a actions) Fail(request uint64) { a.write("ERROR\t%d\t%d\n", a.instance, request) }

func (a actions) Wake(delay time.Duration) {
	a.write("SLEEP\t%d\t%.3f\twake\n", a.instance, milliseconds(delay))
}

func (a actions) Log(line string) { a.write("REMARK\t%d\t%s\n", a.instance, line) }

func (a actions) Add(name string, amount float64, keep time.Duration) {
	a.write("ADD_TO\t%d\t%s\t%s\t%.3f\n", a.instance, name, strconv.FormatFloat(amount, 'f', -1, 64),
		milliseconds(keep))
}

// fieldReader reads the tab-separated values of one line in order. It keeps the first error and returns zero
// values after it.
type fieldReader struct {
	message, rest string // name of the message, for errors, and the unread part of the line
	more          bool   // rest has at least one value, which may be empty
	err           error
}

// text reads the next value.
func (f *fieldReader) text(field string) string {
	if f.err != nil {
		return ""
	}
	if !f.more {
		f.err = fmt.Errorf("%s: field %s is missing", f.message, field)
		return ""
	}
	var v string
	v, f.rest, f.more = strings.Cut(f.rest, "\t")
	return v
}

// remainder reads the rest of the line as one value, tabs included.
func (f *fieldReader) remainder(field string) string {
	v := f.rest
	if !f.more {
		return f.text(field)
	}
	f.more = false
	return v
}

// invalid records that a value is not of the wanted kind, unless there was an earlier error.
func (f *fieldReader) invalid(field, value, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: field %s: %.40q is not %s", f.message, field, value, want)
	}
}

// number reads a number of magnitude up to 1e15. The value "-" means absent and reads as 0.
func (f *fieldReader) number(field string) float64 {
	v := f.text(field)
	if f.err != nil || v == "-" {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.Abs(n) > 1e15 {
		f.invalid(field, v, "a number")
	}
	return n
}

// numbers reads a comma-separated list of finite numbers. An empty value or "-" means none.
func (f *fieldReader) numbers(field string) []float64 {
	v := f.text(field)
	if f.err != nil || v == "-" || v == "" {
		return nil
	}
	var all []float64
	for _, part := range strings.Split(v, ",") {
		n, err := strconv.ParseFloat(part, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			f.invalid(field, v, "a list of numbers")
			return nil
		}
		all = append(all, n)
	}
	return all
}

// duration reads a number of milliseconds, rounded to microseconds.
func (f *fieldReader) duration(field string) time.Duration {
	n := f.number(field)
	if math.Abs(n) > 1e12 {
		f.invalid(field, strconv.FormatFloat(n, 'g', -1, 64), "a time in range")
		return 0
	}
	return time.Duration(math.Round(n*1000)) * time.Microsecond
}

func (f *fieldReader) integer(field string) int {
	v := f.text(field)
	n, err := strconv.Atoi(v)
	if f.err == nil && err != nil {
		f.invalid(field, v, "an integer")
	}
	return n
}

// id reads an unsigned 64-bit integer.
func (f *fieldReader) id(field string) uint64 {
	v := f.text(field)
	n, err := strconv.ParseUint(v, 10, 64)
	if f.err == nil && err != nil {
		f.invalid(field, v, "an id")
	}
	return n
}

// flag reads a boolean: 1 is true, 0 and "-" (absent) are false.
func (f *fieldReader) flag(field string) bool {
	v := f.text(field)
	if f.err == nil && v != "0" && v != "1" && v != "-" {
		f.invalid(field, v, "a boolean")
	}
	return v == "1"
}

// codesByName maps the protocol's result codes to those of package choice.
var codesByName = map[string]choice.Code{
	"done": choice.OK, "err": choice.Error, "busy": choice.Busy, "etimedout": choice.TimedOut,
	"econnrefused": choice.Refused, "econnreset": choice.Reset, "ecanceled": choice.Cancelled,
	"skipped": choice.Skipped,
}

// code reads a result code.
func (f *fieldReader) code(field string) choice.Code {
	v := f.text(field)
	c, ok := codesByName[v]
	if f.err == nil && !ok {
		f.invalid(field, v, "a result code")
	}
	return c
}

// finish returns the first error of the line; a value that no field consumed is one.
func (f *fieldReader) finish() error {
	if f.err == nil && f.more {
		f.err = fmt.Errorf("%s: more values than fields, from %.40q on", f.message, f.rest)
	}
	return f.err
}
