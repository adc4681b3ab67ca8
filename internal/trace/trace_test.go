package trace_test

import (
	"strings"
	"testing"

	"github.com/sequoiapick/sequoiapick/internal/trace"
)

const log = `  10.9320 front-a {"time":"2026-08-21T06:48:30.9Z","level":"INFO","msg":"JobRejected","Host":"front-a","Event":310,"Request":"r1","Reason":"Overloaded","Service":"picking","Pressure":1.42,"Steps":[]}
  10.9330 front-b {"time":"2026-08-21T06:48:30.95Z","level":"INFO","msg":"EntryRefused","Host":"front-b","Event":204,"Request":"r1","Outcome":"Overloaded","Status":503,"Reason":"Overloaded","Millis":12}
not a line about r1
{"time":"2026-08-21T06:48:29Z","msg":"EntryAnswered","Host":"front-b","Request":"r10","Status":200}
{"time":"2026-08-21T06:48:29Z","msg":"AttemptFailed","Host":"front-b","Request":"r2","Target":"i-1","Outcome":"Lost","Reason":"EOF"}
{"time":"2026-08-21T06:48:30Z","msg":"EntryRefused","Host":"front-b","Request":"r2","Outcome":"TargetFailed","Status":502,"Reason":"answer: EOF","Millis":40}
{"time":"2026-08-21T06:48:30Z","msg":"EntryAbandoned","Host":"front-b","Request":"r3","Outcome":"Abandoned","Millis":4000}
`

func read(t *testing.T, request string) trace.Trace {
	t.Helper()
	tr, err := trace.Read(request, strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

func TestCauseUsesOnlyLinesOfTheRequest(t *testing.T) {
	for request, want := range map[string]string{
		"r1": "ended with status 503 (Overloaded) after 12 ms: Overloaded; its stages were rejected by front-a: Overloaded at service picking, demand 1.42 times its capacity",
		"r2": "ended with status 502 (TargetFailed) after 40 ms: answer: EOF; the last attempt, at target i-1, ended as Lost: EOF",
		"r3": "the client disconnected after 4000 ms, no decision about it was logged",
		"r4": "no log line shows how the request ended",
	} {
		if got := read(t, request).Cause(); got != want {
			t.Errorf("%s: got %q, want %q", request, got, want)
		}
	}
}

func TestTableIsSortedByTime(t *testing.T) {
	table := read(t, "r1").Table()
	rejected, refused := strings.Index(table, "JobRejected"), strings.Index(table, "EntryRefused")
	if rejected < 0 || refused < rejected || !strings.Contains(table, `Service="picking"`) || strings.Contains(table, "r10") {
		t.Errorf("got\n%s", table)
	}
}
