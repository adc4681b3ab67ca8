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

// requests is the number of requests in each part of the demonstration.
const requests = 120

// configuration is what the operators of both users create.
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

// workload is one sort of request.
type workload struct{ account, pipeline, tier string }

var workloads = []workload{
	{"peachtree-sales", "quote-draft", "later"},
	{"peachtree-sales", "quote-draft", "soon"},
	{"peachtree-sales", "restock", "soon"},
	{"bustan-drivers", "stop-plan", "now"},
	{"bustan-drivers", "restock", "now"},
}

func run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	w, err := start(ctx)
	if err != nil {
		cancel()
		return err
	}
	defer w.stop()
	defer cancel()
	err = w.operate(ctx, func(client operator.OperatorClient) error {
		reply, err := client.Apply(ctx, configuration(w.targets))
		fmt.Fprintf(out, "3 daemons in 3 data centres, configuration version %d\n", reply.GetVersion())
		return err
	})
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := w.part(ctx, out, "all data centres in service"); err != nil {
		return err
	}
	if err := w.operate(ctx, func(client operator.OperatorClient) error {
		_, err := client.TakeOut(ctx, &operator.TakeOutRequest{DataCentre: "ga-c"})
		return err
	}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := w.part(ctx, out, "ga-c taken out"); err != nil {
		return err
	}
	if err := w.operate(ctx, func(client operator.OperatorClient) error {
		_, err := client.BringIn(ctx, &operator.BringInRequest{DataCentre: "ga-c"})
		return err
	}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return w.part(ctx, out, "ga-c brought back")
}

// tally is what became of the requests of one tier.
type tally struct {
	sent, met int
	price     int64
}

// part runs requests of every sort at once and prints what became of them.
func (w *world) part(ctx context.Context, out io.Writer, title string) error {
	fmt.Fprintf(out, "\n== %s\n", title)
	var mu sync.Mutex
	tiers := map[string]*tally{}
	stages := map[string]*request.StageCost{}
	centreCost := map[string]int{}
	last := ""
	ready := w.ready()
	var work sync.WaitGroup
	for n := range requests {
		load := workloads[n%len(workloads)]
		address := ready[n%len(ready)]
		work.Go(func() {
			answer, ok := send(address, load, fmt.Sprintf("%s-%d", title, n))
			mu.Lock()
			defer mu.Unlock()
			t := tiers[load.tier]
			if t == nil {
				t = &tally{}
				tiers[load.tier] = t
			}
			t.sent++
			if !ok {
				return
			}
			t.met++
			t.price += answer.PriceMicros
			last = answer.RequestID
			for _, s := range answer.Stages {
				sum := stages[s.Stage]
				if sum == nil {
					sum = &request.StageCost{}
					stages[s.Stage] = sum
				}
				sum.Attempts += s.Attempts
				sum.CostMicros += s.CostMicros
				centreCost[s.Target[len(s.Target)-4:]]++
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	work.Wait()
	printTally(out, tiers, stages)
	fmt.Fprintf(out, "stages run by data centre: %v\n", centreCost)
	return w.explain(ctx, out, last)
}

// ready returns the callers' addresses of the daemons that a balancer would use now.
func (w *world) ready() []string {
	var addresses []string
	for _, s := range w.daemons {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+s.Address.Caller+"/readyz", time.Second)
		if err == nil && status == fasthttp.StatusOK {
			addresses = append(addresses, s.Address.Caller)
		}
	}
	return addresses
}

func printTally(out io.Writer, tiers map[string]*tally, stages map[string]*request.StageCost) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "tier\tattainment\tprice of an answer")
	for _, name := range slices.Sorted(maps.Keys(tiers)) {
		t := tiers[name]
		fmt.Fprintf(table, "%s\t%d of %d\t%d\n", name, t.met, t.sent, t.price/int64(max(t.met, 1)))
	}
	fmt.Fprintln(table, "stage\tattempts\tcost of an attempt")
	for _, name := range slices.Sorted(maps.Keys(stages)) {
		s := stages[name]
		fmt.Fprintf(table, "%s\t%d\t%d\n", name, s.Attempts, s.CostMicros/int64(max(s.Attempts, 1)))
	}
	_ = table.Flush()
}

// explain prints the decisions of one request.
func (w *world) explain(ctx context.Context, out io.Writer, id string) error {
	return w.operate(ctx, func(client operator.OperatorClient) error {
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

// send runs one request as a caller and reports whether its answer is whole.
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
