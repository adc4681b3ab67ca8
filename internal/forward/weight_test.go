package forward_test

import (
	"net/http"
	"testing"

	standin "github.com/sequoiapick/sequoiapick/internal/standin/service"
	"github.com/sequoiapick/sequoiapick/pkg/route"
)

// TestRouteWithoutWeightUsesNoOtherService guards against requests that go to targets of services that their route doesn't
// name.
func TestRouteWithoutWeightUsesNoOtherService(t *testing.T) {
	for _, c := range noticeCases() {
		t.Run(c.name, func(t *testing.T) {
			server := &standin.Server{ID: "i-1", Profile: standin.Profile{Kind: c.kind, Events: streamEvents}}
			target, err := server.Start("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Stop)
			f, address := startForwarderOf(t, c.route, map[string]string{"i-1": target}, forwarderOptions{})
			table := f.Table()
			r := table.Routes[0]
			r.Backends = []route.Backend{{Service: "llm"}, {Service: "stage"}}
			services := table.Services
			without := route.NewTable(2, []route.Route{r}, nil, route.Limits{}, nil)
			without.Services = services
			f.Table = func() *route.Table { return without }
			status, retryAfter, _ := send(t, address, 1)
			if status != http.StatusServiceUnavailable || len(server.Arrivals()) > 0 {
				t.Errorf("status %d, Retry-After %q, %d requests reached a target", status, retryAfter, len(server.Arrivals()))
			}
		})
	}
}
