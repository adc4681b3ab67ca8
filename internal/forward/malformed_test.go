package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/standin/raw"
	"github.com/sequoiapick/sequoiapick/pkg/route"
	"github.com/sequoiapick/sequoiapick/platform"
)

// headStarts are the starts of heads of answers; the value tells whether they are sound.
var headStarts = map[string]bool{
	"HTTP/1.1 200 OK\r\n":               true,
	"HTTP/1.1 000 OK\r\n":               false,
	"HTTP/1.1 200 OK\r\nX A: b\r\n":     false,
	"HTTP/1.1 200 OK\r\nX-\x01A: b\r\n": false,
}

// withLength returns an answer whose head begins with the start.
func withLength(start, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", start, len(body), body)
}

// startAnswering runs a target that sends what answer returns for a request, and closes the connection.
func startAnswering(t *testing.T, answer func(r *http.Request) string) string {
	t.Helper()
	address, stop, err := raw.Serve(func(conn net.Conn, requests *bufio.Reader) {
		if r := raw.SkipRequest(requests); r != nil {
			_, _ = io.WriteString(conn, answer(r))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address
}

// TestMalformedAnswerToStageCallIsNotUsed answers the calls of a stage with results. The engine must get them only if
// the answer is sound.
func TestMalformedAnswerToStageCallIsNotUsed(t *testing.T) {
	for start, sound := range headStarts {
		inputs := make(chan string, 10)
		stage := startAnswering(t, func(*http.Request) string { return withLength(start, `{"items":[{"handle":"h/1"}]}`) })
		engine := startAnswering(t, func(r *http.Request) string {
			inputs <- r.Header.Get("X-Inputs")
			return withLength("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n", "ok")
		})
		_, address := startForwarderOf(t, route.Route{Kind: route.Safe, MaxAttempts: 2, Stages: []route.Stage{{Service: "stage"}}},
			map[string]string{"i-1": engine}, forwarderOptions{stageTargets: []dispatch.Target{{ID: "s-1", Service: "stage", Address: stage}}})
		answer, err := http.ReadResponse(sendWithDeadline(t, address, 1500*time.Millisecond, 1), nil)
		if err != nil {
			t.Fatalf("%q: %v", start, err)
		}
		if used := len(inputs) > 0; used != sound || (answer.StatusCode == http.StatusOK) != sound {
			t.Errorf("%q: the engine got the results: %v, the client status %d", start, used, answer.StatusCode)
		}
	}
}

// TestMalformedReportConfirmsNoStart answers a request with neither a length nor chunks. The answer is whole only if
// the report that confirms the start of its target is sound.
func TestMalformedReportConfirmsNoStart(t *testing.T) {
	for start, sound := range headStarts {
		engine := startAnswering(t, func(r *http.Request) string {
			if r.URL.Path == platform.ReportPath {
				return withLength(start, fmt.Sprintf(`{"running":0,"born":%d}`, firstStart))
			}
			return "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n\r\nok"
		})
		body, complete, err := get(startForwarderTo(t, route.Route{Kind: route.Unsafe, MaxAttempts: 1}, map[string]string{"i-1": engine}), "1.1")
		if err != nil || complete != sound {
			t.Errorf("%q: got %q, complete %v, %v", start, body, complete, err)
		}
	}
}
