// Package capacity benchmarks how the cost of each role of a daemon grows with the size of the
// system: members, targets, accounts, keys and messages. docs/CAPACITY.md is calculated from the
// results.
//
// # Usage
//
//	go test -run '^$' -bench . ./internal/capacity
package capacity

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiapick/sequoiapick/internal/admission"
	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/fleet"
	"github.com/sequoiapick/sequoiapick/internal/frame"
	"github.com/sequoiapick/sequoiapick/internal/guardian"
	"github.com/sequoiapick/sequoiapick/internal/history"
	"github.com/sequoiapick/sequoiapick/internal/idempotency"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
	"github.com/sequoiapick/sequoiapick/internal/registry"
	"github.com/sequoiapick/sequoiapick/internal/router"
	"github.com/sequoiapick/sequoiapick/pkg/account"
	"github.com/sequoiapick/sequoiapick/pkg/datacentre"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// The numbers of target kinds and of data centres at the size that the system is designed for.
const (
	kinds       = 25
	dataCentres = 17
)

// membershipView returns the view of a data centre with the given number of members.
func membershipView(members int) membership.View {
	v := membership.View{DataCentre: "dc-0"}
	for n := range members {
		v, _ = v.Join(membership.Member{Host: fmt.Sprint("host-", n), Incarnation: fmt.Sprintf("%012d", n), PeerAddress: "10.0.0.1:8082", CallerAddress: "10.0.0.1:8080"})
	}
	return v
}

// testTarget returns the target with number n. Targets are spread evenly over kinds and data centres.
func testTarget(n int) target.Target {
	return target.Target{
		Name: fmt.Sprint("target-", n), DataCentre: fmt.Sprint("dc-", n%dataCentres), Kind: fmt.Sprint("kind-", n%kinds),
		Address: "10.0.0.1:9000", Host: fmt.Sprint("host-", n), ColdLimit: 2, MaxInFlight: 16, CostMicros: 100, EchoesAttempt: true,
	}
}

// document returns a configuration with the given number of targets and 1,100 accounts.
func document(targets int) catalog.Document {
	var d catalog.Document
	change := catalog.Change{Version: 1}
	for n := range targets {
		change.Targets = append(change.Targets, testTarget(n))
	}
	for n := range 1100 {
		change.Accounts = append(change.Accounts, account.Account{Name: fmt.Sprint("account-", n), TokenHash: account.HashToken(fmt.Sprint(n))})
	}
	d, _ = d.Apply(change)
	return d
}

// heapBytes returns the number of heap bytes that the result of create occupies.
func heapBytes(create func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := create()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkGuardianAcquire measures the admission of a call to a target by its guardian, the only
// daemon that may send to the target while it is cold.
func BenchmarkGuardianAcquire(b *testing.B) {
	for _, members := range []int{2, 9, 82} {
		b.Run(fmt.Sprint("members=", members), func(b *testing.B) {
			var gate guardian.Gate
			v := membershipView(members)
			now := time.Now()
			gate.Adopt(now, v.Members[0].Incarnation, v)
			for _, m := range v.Members {
				gate.PeerAdopted(m.Incarnation, v.Epoch, nil)
			}
			t := testTarget(0)
			for b.Loop() {
				if _, ok := gate.Acquire(now, t).(guardian.Granted); ok {
					gate.Release(t.Name)
				}
			}
		})
	}
}

// BenchmarkChooseTarget measures the choice of a target for a stage, including the list of its
// candidates. No data centre is out of service.
func BenchmarkChooseTarget(b *testing.B) {
	for _, targets := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			f := &fleet.Fleet{Clock: clockwork.NewRealClock(), Host: "host-1", DataCentre: "dc-1"}
			f.Adopt("000000000000", membershipView(82))
			d := document(targets)
			for name := range d.Targets {
				f.Observe(name, target.Report{Incarnation: "a"}, time.Now())
			}
			out := func(string) bool { return false }
			b.ReportAllocs()
			for b.Loop() {
				candidates := f.Candidates(d, "kind-1", out)
				router.Choose(router.Query{Policy: router.Price, Candidates: candidates, TimeBudget: time.Second})
			}
		})
	}
}

// BenchmarkConfigurationChange measures the change of one target, and the size of the configuration
// in memory and as a snapshot.
func BenchmarkConfigurationChange(b *testing.B) {
	for _, targets := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			d := document(targets)
			for b.Loop() {
				d, _ = d.Apply(catalog.Change{Version: d.Version + 1, Targets: []target.Target{testTarget(1)}})
			}
			b.ReportMetric(heapBytes(func() any { return document(targets) }), "heap-B")
			body, _ := catalog.Encode(d)
			b.ReportMetric(float64(len(body)), "snapshot-B")
		})
	}
}

// BenchmarkOutOrders measures the check whether an order of the operators takes a data centre out of
// service.
func BenchmarkOutOrders(b *testing.B) {
	for _, orders := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("orders=", orders), func(b *testing.B) {
			r := &registry.Registry{}
			for n := range orders {
				r.ApplyOrder(datacentre.Order{ID: fmt.Sprint(n), DataCentre: fmt.Sprint("dc-", n%dataCentres), Cancelled: n%dataCentres != 0})
			}
			for b.Loop() {
				r.DataCentreOut("dc-1")
			}
		})
	}
}

// BenchmarkKeys measures the entry of a key into the deduplication table of idempotency keys, and the
// memory of each key with a result of 512 bytes.
func BenchmarkKeys(b *testing.B) {
	for _, keys := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint("keys=", keys), func(b *testing.B) {
			now := time.Now()
			fill := func() any {
				table := &idempotency.DedupTable{}
				for n := range keys {
					id := idempotency.ID{Account: "account", Key: fmt.Sprint("order-confirmation-", n)}
					table.Begin(now, id, 1)
					table.Finish(now, id, idempotency.Outcome{Body: make([]byte, 512)})
				}
				return table
			}
			table := fill().(*idempotency.DedupTable)
			n := 0
			for b.Loop() {
				n++
				id := idempotency.ID{Account: "account", Key: fmt.Sprint("new-", n)}
				table.Begin(now, id, 1)
				table.Finish(now, id, idempotency.Outcome{})
			}
			b.ReportMetric(heapBytes(fill)/float64(keys), "heap-B/key")
		})
	}
}

// BenchmarkAdmission measures the admission and the release of a request while other accounts have
// requests in flight.
func BenchmarkAdmission(b *testing.B) {
	for _, accounts := range []int{10, 100, 1100} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			controller := &admission.Controller{Clock: clockwork.NewRealClock(), MaxInFlight: accounts + 1}
			for n := range accounts {
				_ = controller.Admit(account.Account{Name: fmt.Sprint("account-", n)})
			}
			a := account.Account{Name: "account-0"}
			for b.Loop() {
				if controller.Admit(account.Account{Name: "another"}) == nil {
					controller.Release("another")
				}
				_ = a
			}
		})
	}
}

// BenchmarkAuthenticate measures the search for the account of a token.
func BenchmarkAuthenticate(b *testing.B) {
	d := document(10)
	for b.Loop() {
		d.AccountByToken("1099")
	}
}

// BenchmarkToken measures the path of one token through a daemon: it is decoded from the target's
// stream and encoded for the caller.
func BenchmarkToken(b *testing.B) {
	var stream bytes.Buffer
	writer := frame.NewWriter(&stream)
	const tokens = 1000
	for range tokens {
		_ = writer.Text([]byte(" token"))
	}
	_ = writer.End(frame.End{})
	b.ReportAllocs()
	for b.Loop() {
		reader := frame.NewReader(bytes.NewReader(stream.Bytes()))
		callerWriter := frame.NewWriter(io.Discard)
		for {
			f, err := reader.Next()
			if err != nil || f.End != nil {
				break
			}
			_ = callerWriter.Text([]byte(f.Text))
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
	b.ReportMetric(float64(stream.Len())/tokens, "wire-B/token")
}

// BenchmarkHistory reports the memory of a full history: history.MaxRequests requests with six
// decisions each. Its loop is empty because no time is measured.
func BenchmarkHistory(b *testing.B) {
	for _, candidates := range []int{3, 8, 400} {
		b.Run(fmt.Sprint("candidates=", candidates), func(b *testing.B) {
			names := make([]string, candidates)
			for n := range names {
				names[n] = fmt.Sprint("target-", n)
			}
			fill := func() any {
				store := &history.Store{}
				for n := range history.MaxRequests {
					id := fmt.Sprint("request-", n)
					store.Begin(id, "account")
					for range 6 {
						store.Add(id, history.Decision{Stage: "generate", Action: "Send", Target: "target-1", Reason: "cheapest", Candidates: append([]string(nil), names...)})
					}
				}
				return store
			}
			for b.Loop() {
				_ = names
			}
			b.ReportMetric(heapBytes(fill), "heap-B")
		})
	}
}

// BenchmarkMessages reports the encoded size of the messages between daemons, with long names and
// large numbers. It measures the time to encode them.
func BenchmarkMessages(b *testing.B) {
	// The configuration version 52000 * 365 is that after a year with 52,000 changes a day.
	digest := &peerpb.Call{Kind: &peerpb.Call_Digest{Digest: &peerpb.Digest{
		Host: "dc-12-entry-1399", DataCentre: "dc-12", Incarnation: "0123456789ab", ConfigVersion: 52000 * 365, Epoch: 1 << 20, OrdersHash: 1 << 63, HeirsHash: 1 << 63,
	}}}
	adopted := &peerpb.Call{Kind: &peerpb.Call_Adopted{Adopted: &peerpb.Adopted{DataCentre: "dc-12", Host: "dc-12-entry-1399", Incarnation: "0123456789ab", Epoch: 1 << 20}}}
	change, _ := catalog.Encode(catalog.Change{Version: 52000 * 365, ID: "0123456789abcdef0123456789abcdef", Targets: []target.Target{testTarget(9999)}})
	for _, m := range []struct {
		name    string
		message proto.Message
	}{
		{"digest", digest},
		{"adopted", adopted},
		{"change", &peerpb.Change{Version: 1 << 30, ID: "0123456789abcdef0123456789abcdef", Body: change}},
		{"notice", &peerpb.Call{Kind: &peerpb.Call_Notice{Notice: &peerpb.Notice{Target: "target-9999", Incarnation: "01234567", Cold: true, ID: "0123456789abcdef0123456789abcdef0123"}}}},
	} {
		b.Run(m.name, func(b *testing.B) {
			var size int
			for b.Loop() {
				body, _ := proto.Marshal(m.message)
				size = len(body)
			}
			b.ReportMetric(float64(size), "wire-B")
		})
	}
}
