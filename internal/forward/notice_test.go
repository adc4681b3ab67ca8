package forward_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	standin "github.com/sequoiapick/sequoiapick/internal/standin/service"
	"github.com/sequoiapick/sequoiapick/pkg/route"
)

// startStandIns starts two targets and a forwarder of the route to them.
func startStandIns(t *testing.T, kind standin.Kind, r route.Route) (servers []*standin.Server, address string) {
	t.Helper()
	addresses := map[string]string{}
	for _, id := range []string{"i-1", "i-2"} {
		server := &standin.Server{ID: id, Profile: standin.Profile{Kind: kind, Events: streamEvents}}
		address, err := server.Start("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Stop)
		servers = append(servers, server)
		addresses[id] = address
	}
	return servers, startForwarderTo(t, r, addresses)
}

// send sends a request and returns the status and the Retry-After header of the answer, and how long it
// took.
func send(t *testing.T, address string, n int) (status int, retryAfter string, took time.Duration) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/2f", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	for name, value := range map[string]string{"X-Attempt-Id": "a" + strconv.Itoa(n), "X-Pieces": "0", "X-Model": "m", "X-Token-Usage": "10,10", "X-Prompt-Prefix": "5c:10"} {
		request.Header.Set(name, value)
	}
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("Retry-After"), time.Since(began)
}

// noticeCase is a kind of route with the kind of its targets.
type noticeCase struct {
	name  string
	route route.Route
	kind  standin.Kind
}

func noticeCases() []noticeCase {
	return []noticeCase{
		{"safe", route.Route{Kind: route.Safe, MaxAttempts: 2}, standin.Plain},
		{"unsafe", route.Route{Kind: route.Unsafe, MaxAttempts: 1}, standin.Plain},
		{"stream", route.Route{Kind: route.Streaming, MaxAttempts: 1}, standin.Engine},
		{"resumable", route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 2}, standin.Engine},
		{"generation", route.Route{Kind: route.Safe, MaxAttempts: 2, Stages: []route.Stage{{Service: "stage"}}}, standin.Engine},
	}
}

// TestLeavingTargetGetsNoRequestAfterItsAnswer has a target say in an answer that it leaves; the store
// doesn't know it. Requests go to the other target.
func TestLeavingTargetGetsNoRequestAfterItsAnswer(t *testing.T) {
	for _, c := range noticeCases() {
		t.Run(c.name, func(t *testing.T) {
			servers, address := startStandIns(t, c.kind, c.route)
			servers[0].SetLeaving("1")
			const sent = 40
			for n := range sent {
				if status, _, _ := send(t, address, n); status != http.StatusOK {
					t.Fatalf("request %d: status %d", n, status)
				}
			}
			if got := len(servers[0].Arrivals()); got > 1 {
				t.Errorf("the leaving target got %d of %d requests, want the one at most whose answer says it", got, sent)
			}
		})
	}
}

// TestHeldTargetGetsNoRequestDuringItsTime has a target reject requests with Retry-After, while others
// still run.
func TestHeldTargetGetsNoRequestDuringItsTime(t *testing.T) {
	for _, c := range noticeCases() {
		t.Run(c.name, func(t *testing.T) {
			servers, address := startStandIns(t, c.kind, c.route)
			servers[0].SetFault(standin.Fault{Shed: 1, RetryAfter: "0.5"})
			began := time.Now()
			for n := 0; time.Since(began) < time.Second; n++ {
				if status, _, _ := send(t, address, n); status != http.StatusOK {
					t.Fatalf("request %d: status %d", n, status)
				}
				time.Sleep(2 * time.Millisecond)
			}
			arrivals := servers[0].Arrivals()
			if len(arrivals) < 2 {
				t.Fatal("the target got no request after its time")
			}
			if gap := arrivals[1].Sub(arrivals[0]); gap < 490*time.Millisecond {
				t.Errorf("the target got a request %v after it had asked for 0.5 s without", gap)
			}
		})
	}
}

// TestRequestIsRejectedAtOnceWhileAllTargetsAreHeld has all targets want no requests for a time: a
// request is rejected at once, and told the time until one of them wants requests again.
func TestRequestIsRejectedAtOnceWhileAllTargetsAreHeld(t *testing.T) {
	for _, c := range noticeCases() {
		t.Run(c.name, func(t *testing.T) {
			servers, address := startStandIns(t, c.kind, c.route)
			servers[0].SetFault(standin.Fault{Shed: 1, RetryAfter: "30"})
			servers[1].SetFault(standin.Fault{Shed: 1, RetryAfter: "20"})
			for n := range 3 {
				status, retryAfter, took := send(t, address, n)
				seconds, err := strconv.ParseFloat(retryAfter, 64)
				if status != http.StatusServiceUnavailable || err != nil || seconds < 18 || seconds > 20 {
					t.Errorf("request %d: status %d, Retry-After %q, want 503 and nearly 20 s", n, status, retryAfter)
				}
				if took > 200*time.Millisecond {
					t.Errorf("request %d was rejected after %v", n, took)
				}
			}
			if got := len(servers[0].Arrivals()) + len(servers[1].Arrivals()); got > 2 {
				t.Errorf("the targets got %d requests, want one each", got)
			}
		})
	}
}
