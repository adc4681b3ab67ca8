package forward_test

import (
	"net/http"
	"testing"
	"time"

	standin "github.com/sequoiapick/sequoiapick/internal/standin/service"
)

// TestLimitedTargetGetsRequestsAtItsRate has one of two targets name a limit for a time, then a malformed one.
func TestLimitedTargetGetsRequestsAtItsRate(t *testing.T) {
	const perSecond, seconds = 4, 2
	for _, c := range noticeCases() {
		t.Run(c.name, func(t *testing.T) {
			servers, address := startStandIns(t, c.kind, c.route)
			n := 0
			load := func(d time.Duration) {
				for began := time.Now(); time.Since(began) < d; n++ {
					if status, _, _ := send(t, address, n); status != http.StatusOK {
						t.Fatalf("request %d: status %d", n, status)
					}
				}
			}
			servers[0].SetLimit("4")
			for len(servers[0].Arrivals()) == 0 {
				load(time.Millisecond)
			}
			before := len(servers[0].Arrivals())
			load(seconds * time.Second)
			if got := len(servers[0].Arrivals()) - before; got < perSecond*seconds/2 || got > perSecond*seconds+1 {
				t.Errorf("%d requests in %d s to a target that takes %d a second", got, seconds, perSecond)
			}
			for _, value := range []string{"", "none"} {
				servers[0].SetLimit(value)
				load(400 * time.Millisecond) // until the next answer of the target
				before = len(servers[0].Arrivals())
				load(400 * time.Millisecond)
				if got := len(servers[0].Arrivals()) - before; got < 10 {
					t.Errorf("%d requests to a target that names the limit %q", got, value)
				}
			}
		})
	}
}

// silentMesh is the mesh of a daemon whose leader doesn't answer.
type silentMesh struct{ loneMesh }

func (silentMesh) Leader() string { return "b" }

// TestRequestGoesToTargetWithoutLimitIfLeaderIsSilent guards against requests that wait for a leader although they need
// none.
func TestRequestGoesToTargetWithoutLimitIfLeaderIsSilent(t *testing.T) {
	servers, addresses := []*standin.Server{}, map[string]string{}
	for _, id := range []string{"i-1", "i-2"} {
		server := &standin.Server{ID: id, Profile: standin.Profile{Kind: standin.Plain}}
		address, err := server.Start("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Stop)
		servers, addresses[id] = append(servers, server), address
	}
	f, address := startForwarderOf(t, noticeCases()[0].route, addresses, forwarderOptions{mesh: silentMesh{}})
	f.Limits.Share = func() float64 { return 0 }
	servers[0].SetLimit("1")
	for n := range 20 {
		status, _, took := send(t, address, n)
		if status != http.StatusOK || took > time.Second {
			t.Fatalf("request %d: status %d after %v", n, status, took)
		}
	}
	if got := len(servers[0].Arrivals()); got > 1 {
		t.Errorf("the limited target got %d requests of a daemon without a share of its limit", got)
	}
	servers[1].SetLimit("1")
	for n := range 3 {
		status, retryAfter, took := send(t, address, 100+n)
		if n > 0 && (status != http.StatusServiceUnavailable || retryAfter == "" || took > 2*time.Second) {
			t.Errorf("request %d: status %d, Retry-After %q after %v", n, status, retryAfter, took)
		}
	}
}
