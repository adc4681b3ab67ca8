package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	"github.com/sequoiapick/sequoiapick/internal/request"
	"github.com/sequoiapick/sequoiapick/pkg/operator"
)

// requestsPerPhase is the number of requests in each phase of the demonstration.
const requestsPerPhase = 120

// configuration returns a configuration of both accounts with their pipelines and tiers and with the
// given targets. Prices are in millionths of the currency unit.
func configuration(targets []*operator.Target) *operator.ApplyRequest {
	stage := func(name, kind string, idempotent bool) *operator.Stage {
		return &operator.Stage{Name: name, Kind: kind, Idempotent: idempotent}
	}
	return &operator.ApplyRequest{
		Pipelines: []*operator.Pipeline{
			{Name: "quote-draft", Stages: []*operator.Stage{
				stage("retrieve", "retriever", true), stage("rerank", "reranker", true), stage("generate", "llm", true),
			}},
			{Name: "restock", Stages: []*operator.Stage{stage("check", "retriever", true), stage("confirm", "orders", false)}},
			{Name: "stop-plan", Stages: []*operator.Stage{stage("plan", "llm", true)}},
		},
		Tiers: []*operator.Tier{
			{Name: "now", DeadlineMillis: 800, PriceMicros: 900},
			{Name: "soon", DeadlineMillis: 3000, PriceMicros: 500},
			{Name: "later", DeadlineMillis: 20000, PriceMicros: 200},
		},
		Accounts: []*operator.Account{{Name: "peachtree-sales"}, {Name: "bustan-drivers"}},
		Targets:  targets,
	}
}

// workload is one kind of request. The fields are names in configuration.
type workload struct{ account, pipeline, tier string }

// workloads are the kinds of requests, which take turns.
var workloads = []workload{
	{"peachtree-sales", "quote-draft", "later"},
	{"peachtree-sales", "quote-draft", "soon"},
	{"peachtree-sales", "restock", "soon"},
	{"bustan-drivers", "stop-plan", "now"},
	{"bustan-drivers", "restock", "now"},
}

// run starts the system and runs three phases: with all data centres, with one taken out of service
// and with it brought back. Before each phase it waits for a second, the interval of polls and of
// gossip, so that the daemons can learn of the change.
func run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	s, err := start(ctx)
	if err != nil {
		cancel()
		return err
	}
	defer s.wait()
	defer cancel()
	err = s.operate(ctx, func(client operator.OperatorClient) error {
		reply, err := client.Apply(ctx, configuration(s.targets))
		fmt.Fprintf(out, "3 daemons in 3 data centres, configuration version %d\n", reply.GetVersion())
		return err
	})
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := s.runPhase(ctx, out, "all data centres in service"); err != nil {
		return err
	}
	if err := s.operate(ctx, func(client operator.OperatorClient) error {
		_, err := client.TakeOut(ctx, &operator.TakeOutRequest{DataCentre: "ga-c"})
		return err
	}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := s.runPhase(ctx, out, "ga-c taken out"); err != nil {
		return err
	}
	if err := s.operate(ctx, func(client operator.OperatorClient) error {
		_, err := client.BringIn(ctx, &operator.BringInRequest{DataCentre: "ga-c"})
		return err
	}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return s.runPhase(ctx, out, "ga-c brought back")
}

// tally counts the requests of one tier that were sent and those that were answered completely, and
// sums the prices of the answers in millionths of the currency unit.
type tally struct {
	sent, answered int
	priceMicros    int64
}

// runPhase sends requests of every kind concurrently and prints their outcomes and costs, and the
// decisions of one of them.
func (s *system) runPhase(ctx context.Context, out io.Writer, title string) error {
	fmt.Fprintf(out, "\n== %s\n", title)
	var mu sync.Mutex
	tallyByTier := map[string]*tally{}
	costByStage := map[string]*request.StageCost{}
	stagesByDataCentre := map[string]int{}
	lastRequestID := ""
	ready := s.readyAddresses()
	var work sync.WaitGroup
	for n := range requestsPerPhase {
		load := workloads[n%len(workloads)]
		address := ready[n%len(ready)]
		work.Go(func() {
			answer, ok := send(address, load, fmt.Sprintf("%s-%d", title, n))
			mu.Lock()
			defer mu.Unlock()
			t := tallyByTier[load.tier]
			if t == nil {
				t = &tally{}
				tallyByTier[load.tier] = t
			}
			t.sent++
			if !ok {
				return
			}
			t.answered++
			t.priceMicros += answer.PriceMicros
			lastRequestID = answer.RequestID
			for _, cost := range answer.Stages {
				sum := costByStage[cost.Stage]
				if sum == nil {
					sum = &request.StageCost{}
					costByStage[cost.Stage] = sum
				}
				sum.Attempts += cost.Attempts
				sum.CostMicros += cost.CostMicros
				// The last four characters of a target's name are its data centre.
				stagesByDataCentre[cost.Target[len(cost.Target)-4:]]++
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	work.Wait()
	printTally(out, tallyByTier, costByStage)
	fmt.Fprintf(out, "stages run by data centre: %v\n", stagesByDataCentre)
	return s.explain(ctx, out, lastRequestID)
}

// readyAddresses returns the callers' addresses of the daemons that are ready, to which a load
// balancer would send requests.
func (s *system) readyAddresses() []string {
	var addresses []string
	for _, d := range s.daemons {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+d.Address.Caller+"/readyz", time.Second)
		if err == nil && status == fasthttp.StatusOK {
			addresses = append(addresses, d.Address.Caller)
		}
	}
	return addresses
}

// printTally prints a table of the tiers and a table of the stages. Prices and costs are means in
// millionths of the currency unit.
func printTally(out io.Writer, tiers map[string]*tally, stages map[string]*request.StageCost) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "tier\tattainment\tprice of an answer")
	for _, name := range slices.Sorted(maps.Keys(tiers)) {
		t := tiers[name]
		fmt.Fprintf(table, "%s\t%d of %d\t%d\n", name, t.answered, t.sent, t.priceMicros/int64(max(t.answered, 1)))
	}
	fmt.Fprintln(table, "stage\tattempts\tcost of an attempt")
	for _, name := range slices.Sorted(maps.Keys(stages)) {
		s := stages[name]
		fmt.Fprintf(table, "%s\t%d\t%d\n", name, s.Attempts, s.CostMicros/int64(max(s.Attempts, 1)))
	}
	_ = table.Flush()
}

// explain prints the decisions of one request.
func (s *system) explain(ctx context.Context, out io.Writer, id string) error {
	return s.operate(ctx, func(client operator.OperatorClient) error {
		reply, err := client.Explain(ctx, &operator.ExplainRequest{RequestID: id})
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "decisions of request %s:\n", id)
		for _, d := range reply.Decisions {
			fmt.Fprintf(out, "  %s: %s %s, %s, of %v\n", d.Stage, d.Action, d.Target, d.Reason, d.Candidates)
		}
		return nil
	})
}

// send sends one request as a caller and reports whether its answer is complete. The idempotency key
// is sent only with requests of restock, which has a stage that isn't idempotent.
func send(address string, load workload, key string) (request.Answer, bool) {
	var answer request.Answer
	call := fasthttp.AcquireRequest()
	reply := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(reply)
	call.Header.SetMethod(fasthttp.MethodPost)
	call.SetRequestURI("http://" + address + "/v1/pipelines/" + load.pipeline + "/runs")
	call.Header.Set(caller.AccountHeader, load.account)
	if load.pipeline == "restock" {
		call.Header.Set(caller.KeyHeader, key)
	}
	body, err := json.Marshal(caller.RunBody{Tier: load.tier, Input: "12 hourglass timers for Macon"})
	if err != nil {
		return answer, false
	}
	call.SetBody(body)
	if err := fasthttp.DoTimeout(call, reply, 30*time.Second); err != nil || reply.StatusCode() != fasthttp.StatusOK {
		return answer, false
	}
	err = json.Unmarshal(reply.Body(), &answer)
	return answer, err == nil && answer.Whole
}
