// Package trace collects the log lines of all daemons about one request, sorts them by time and
// derives how the request ended.
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

// maxLineBytes is the maximum length of a log line; a longer one makes Read fail.
const maxLineBytes = 1 << 20

// Line is one log line about a request.
type Line struct {
	At    time.Time
	Host  string
	Event string
	// Fields holds the other values of the line by key.
	Fields map[string]any
}

// Trace holds all log lines about a request, sorted by time.
type Trace struct {
	Request string
	Lines   []Line
}

// endEvents are the events that end a request. If the lines hold several of them, the first in
// this order counts.
var endEvents = []string{"EntryAnswered", "EntryRefused", "StreamBroken", "EntryAbandoned"}

// Read collects the lines about a request from the logs. Text before the JSON object of a line,
// such as a time and the name of a host, is skipped, as are lines without a JSON object. If a log
// can't be read or has a line longer than 1 MiB, Read returns an error and the lines found so far.
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

// parse parses a log line and reports whether it is about the request.
func parse(text, request string) (Line, bool) {
	if !strings.Contains(text, request) {
		return Line{}, false
	}
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil || fields["Request"] != request {
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

// Cause returns a sentence that says how the request ended and why.
func (t Trace) Cause() string {
	for _, ending := range endEvents {
		for _, l := range slices.Backward(t.Lines) {
			if l.Event == ending {
				return t.describeEnd(l)
			}
		}
	}
	return "no log line shows how the request ended"
}

// describeEnd describes the event that ended the request.
func (t Trace) describeEnd(end Line) string {
	switch end.Event {
	case "EntryAnswered":
		return fmt.Sprintf("answered with status %v by target %v after %v ms, the latency objective was %v ms", end.Fields["Status"], end.Fields["Target"], end.Fields["Millis"], end.Fields["AimMillis"])
	case "EntryAbandoned":
		return fmt.Sprintf("the client disconnected after %v ms, %v", end.Fields["Millis"], t.progress())
	case "StreamBroken":
		return fmt.Sprintf("the stream was cut off after event %v: %v", end.Fields["LastEvent"], end.Fields["Reason"])
	default:
		return fmt.Sprintf("ended with status %v (%v) after %v ms: %v; %v", end.Fields["Status"], end.Fields["Outcome"], end.Fields["Millis"], end.Fields["Reason"], t.progress())
	}
}

// progress describes the last decision about the request.
func (t Trace) progress() string {
	for _, l := range slices.Backward(t.Lines) {
		switch l.Event {
		case "JobRejected":
			return fmt.Sprintf("its stages were rejected by %s: %v at service %v, demand %.2f times its capacity", l.Host, l.Fields["Reason"], l.Fields["Service"], asNumber(l.Fields["Pressure"]))
		case "AttemptFailed":
			return fmt.Sprintf("the last attempt, at target %v, ended as %v: %v", l.Fields["Target"], l.Fields["Outcome"], firstValue(l.Fields["Reason"], l.Fields["Status"]))
		case "EngineAssigned":
			return fmt.Sprintf("target %v had been assigned by %s", l.Fields["Target"], l.Host)
		}
	}
	return "no decision about it was logged"
}

// asNumber returns the value if it is a number, else 0.
func asNumber(v any) float64 {
	f, _ := v.(float64)
	return f
}

// firstValue returns the first value that isn't nil.
func firstValue(values ...any) any {
	for _, v := range values {
		if v != nil {
			return v
		}
	}
	return "no reason"
}

// Table returns the cause, see Cause, and a table of the lines, with times in milliseconds since
// the first line.
func (t Trace) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\n", t.Request, t.Cause())
	if len(t.Lines) == 0 {
		return b.String()
	}
	first := t.Lines[0].At
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
				continue // impossible, since the value was decoded from JSON
			}
			fields = append(fields, name+"="+string(value))
		}
		fmt.Fprintf(&b, "%7d ms  %-24s %-16s %s\n", l.At.Sub(first).Milliseconds(), l.Host, l.Event, strings.Join(fields, " "))
	}
	return b.String()
}
