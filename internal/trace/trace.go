// Package trace reads the daemons' logs and tells how one request went: every decision that
// touched it, on every daemon, in the order of time, and what ended it.
//
// # Usage
//
//	t, err := trace.Read(id, files...)
//	fmt.Print(t.Table())
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Line is one log line about a request.
type Line struct {
	At    time.Time
	Host  string
	Event string
	// Fields are the other values, by name.
	Fields map[string]any
}

// Trace is all that the logs say of a request.
type Trace struct {
	Request string
	Lines   []Line
}

// endings are the events that end a request, the first one found decides.
var endings = []string{"EntryAnswered", "EntryRefused", "StreamBroken", "EntryAbandoned"}

// Read collects the lines about a request. Text before the JSON object of a line, such as a
// time and the name of a host, is skipped.
func Read(request string, logs ...io.Reader) (Trace, error) {
	t := Trace{Request: request}
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for scanner.Scan() {
			if line, ok := parse(scanner.Text(), request); ok {
				t.Lines = append(t.Lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return t, errors.Wrap(err, "read log")
		}
	}
	sort.SliceStable(t.Lines, func(i, j int) bool { return t.Lines[i].At.Before(t.Lines[j].At) })
	return t, nil
}

// parse returns the line if it is about the request.
func parse(text, request string) (Line, bool) {
	if !strings.Contains(text, request) {
		return Line{}, false
	}
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[begin:]), &fields) != nil || fields["Request"] != request {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Event, _ = fields["msg"].(string)
	line.Host, _ = fields["Host"].(string)
	if at, ok := fields["time"].(string); ok {
		line.At, _ = time.Parse(time.RFC3339Nano, at) // a malformed time sorts first
	}
	for _, name := range []string{"time", "level", "msg", "Host", "Event", "Request"} {
		delete(fields, name)
	}
	return line, true
}

// Cause says what ended the request and what decided it.
func (t Trace) Cause() string {
	for _, ending := range endings {
		for _, l := range slices.Backward(t.Lines) {
			if l.Event == ending {
				return t.explain(l)
			}
		}
	}
	return "no line says how the request ended"
}

func (t Trace) explain(end Line) string {
	switch end.Event {
	case "EntryAnswered":
		return fmt.Sprintf("answered with status %v by target %v after %v ms, the aim was %v ms", end.Fields["Status"], end.Fields["Target"], end.Fields["Millis"], end.Fields["AimMillis"])
	case "EntryAbandoned":
		return fmt.Sprintf("the client left after %v ms, %v", end.Fields["Millis"], t.stand())
	case "StreamBroken":
		return fmt.Sprintf("the stream broke off after event %v: %v", end.Fields["LastEvent"], end.Fields["Reason"])
	default:
		return fmt.Sprintf("ended with status %v (%v) after %v ms: %v; %v", end.Fields["Status"], end.Fields["Outcome"], end.Fields["Millis"], end.Fields["Reason"], t.stand())
	}
}

// stand says how far the request had come.
func (t Trace) stand() string {
	for _, l := range slices.Backward(t.Lines) {
		switch l.Event {
		case "JobRejected":
			return fmt.Sprintf("its stages were given up by %s: %v at service %v, demand %.2f times what it can do", l.Host, l.Fields["Reason"], l.Fields["Service"], number(l.Fields["Pressure"]))
		case "AttemptFailed":
			return fmt.Sprintf("the last send, to target %v, ended as %v: %v", l.Fields["Target"], l.Fields["Outcome"], first(l.Fields["Reason"], l.Fields["Status"]))
		case "EngineAssigned":
			return fmt.Sprintf("target %v had been assigned by %s", l.Fields["Target"], l.Host)
		}
	}
	return "nothing had been decided for it"
}

func number(v any) float64 {
	f, _ := v.(float64)
	return f
}

func first(values ...any) any {
	for _, v := range values {
		if v != nil {
			return v
		}
	}
	return "no reason"
}

// Table prints the lines as a table for people, and the cause.
func (t Trace) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\n", t.Request, t.Cause())
	if len(t.Lines) == 0 {
		return b.String()
	}
	begin := t.Lines[0].At
	for _, l := range t.Lines {
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			names = append(names, name)
		}
		sort.Strings(names)
		var fields []string
		for _, name := range names {
			value, err := json.Marshal(l.Fields[name])
			if err != nil {
				continue // a value that came from JSON can be written as JSON
			}
			fields = append(fields, name+"="+string(value))
		}
		fmt.Fprintf(&b, "%7d ms  %-24s %-16s %s\n", l.At.Sub(begin).Milliseconds(), l.Host, l.Event, strings.Join(fields, " "))
	}
	return b.String()
}
