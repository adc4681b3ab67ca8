// Package run runs a request through the stages of its pipeline. It divides the time left
// until the deadline among the stages, asks the router for a target, sends the attempt
// directly or through the guardian of a cold target, and retries and hedges idempotent
// stages. To hedge means to send a second attempt while the first one is slow, and to use the
// answer of the faster one.
//
// A target is cold after its start until it reports that it is warm, and while a daemon has no
// recent report of it; see package fleet. A cold target accepts only a few requests at once,
// its cold limit. One daemon of its data centre, its guardian, sends all of them, also for the
// other daemons. An incarnation is one run of a target or of a daemon from its start to its
// end.
//
// The answer of a target arrives in parts, which are called texts. The request is streamed if
// the texts of its last stage are passed on to the caller as they arrive.
//
// # Usage
//
//	runner := &run.Runner{Fleet: fleet, Links: links, Peers: peers, Cluster: cluster, ...}
//	answer, err := runner.Run(ctx, run.Job{Request: r, Document: document, SendRecord: &sendRecord})
package run

import (
	"context"
	"strings"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/fleet"
	"github.com/sequoiapick/sequoiapick/internal/history"
	"github.com/sequoiapick/sequoiapick/internal/link"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/internal/metric"
	"github.com/sequoiapick/sequoiapick/internal/peer"
	"github.com/sequoiapick/sequoiapick/internal/request"
	"github.com/sequoiapick/sequoiapick/internal/router"
	"github.com/sequoiapick/sequoiapick/pkg/pipeline"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/tier"
)

// MaxAttempts limits the attempts at one stage that may have reached a target and failed.
const MaxAttempts = 4

// Cluster gives the runner access to the other daemons and to what is known of the data
// centres.
type Cluster interface {
	// DataCentreOut reports whether a data centre accepts no new work.
	DataCentreOut(dataCentre string) bool
	// View returns the members of a data centre, which are its daemons, as this daemon knows
	// them.
	View(dataCentre string) membership.View
	// BroadcastObservation sends a change of a target's state to the other daemons of the
	// data centre.
	BroadcastObservation(target string, change fleet.StateChange)
}

// Runner runs requests. It is safe for concurrent use once its fields are set.
type Runner struct {
	Clock       clockwork.Clock
	Policy      router.Policy
	Fleet       *fleet.Fleet
	Links       *link.Pool
	Peers       *peer.Client
	Cluster     Cluster
	Log         event.Log
	History     *history.Store
	Metrics     *metric.Instruments
	RetryBudget RetryBudget
	// WaitQueues holds the stages that wait for a target.
	WaitQueues WaitQueues
}

// Checkpoints stores the outputs of the finished stages of an asynchronous request, so that
// another daemon can resume it.
type Checkpoints interface {
	// Load returns the output of a finished stage and whether there is one. Here and below,
	// stage is the index of the stage in its pipeline. An error of kind OutcomeUnknown means
	// that a non-idempotent stage may have been sent before and has no stored output.
	Load(ctx context.Context, stage int) ([]byte, bool, error)
	// RecordIntent stores durably that a non-idempotent stage is about to be sent. The stage
	// must not be sent after an error.
	RecordIntent(ctx context.Context, stage int) error
	// Save stores the output of a finished stage.
	Save(ctx context.Context, stage int, output []byte) error
}

// Job is one request to run.
type Job struct {
	Request request.Request
	// Document is the configuration that every stage of the run uses.
	Document catalog.Document
	// SendRecord records the attempts that may have been sent.
	SendRecord *request.SendRecord
	// Sink receives the texts of the last stage as they arrive. If it is nil, the texts are
	// returned in the answer only.
	Sink func(text []byte) error
	// Checkpoints is nil for a synchronous request.
	Checkpoints Checkpoints
}

// LookupPipeline returns the pipeline and the tier with the names, or an error of kind
// NotFound.
func LookupPipeline(document catalog.Document, pipelineName, tierName string) (pipeline.Pipeline, tier.Tier, error) {
	p, ok := document.Pipelines[pipelineName]
	if !ok {
		return p, tier.Tier{}, problem.New(problem.NotFound, "pipeline %q is not configured", pipelineName)
	}
	t, ok := document.Tiers[tierName]
	if !ok {
		return p, t, problem.New(problem.NotFound, "tier %q is not configured", tierName)
	}
	return p, t, nil
}

// Run runs the request and returns its whole answer. After an error the answer has the costs
// of the stages that were run, and Whole is false.
func (r *Runner) Run(ctx context.Context, job Job) (request.Answer, error) {
	p, t, err := LookupPipeline(job.Document, job.Request.Pipeline, job.Request.Tier)
	if err != nil {
		return request.Answer{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, job.Request.Deadline)
	defer cancel()
	answer := request.Answer{
		RequestID:   job.Request.ID,
		Pipeline:    p.Name,
		Tier:        t.Name,
		PriceMicros: t.PriceMicros,
	}
	input := job.Request.Input
	for i := range p.Stages {
		output, cost, err := r.runCheckpointed(ctx, job, p, i, input)
		answer.Stages = append(answer.Stages, cost)
		answer.Tokens = cost.Tokens
		if err != nil {
			return answer, err
		}
		input = output
	}
	answer.Text = string(input)
	answer.Bytes = int64(len(input))
	answer.Whole = true
	return answer, nil
}

// runCheckpointed runs stage i of the pipeline, or returns its stored output if it has finished
// before.
func (r *Runner) runCheckpointed(ctx context.Context, job Job, p pipeline.Pipeline, i int, input []byte) ([]byte, request.StageCost, error) {
	if job.Checkpoints == nil {
		return r.runStage(ctx, job, p, i, input)
	}
	output, found, err := job.Checkpoints.Load(ctx, i)
	if found || err != nil {
		return output, request.StageCost{Stage: p.Stages[i].Name}, err
	}
	if !p.Stages[i].Idempotent {
		if err := job.Checkpoints.RecordIntent(ctx, i); err != nil {
			return nil, request.StageCost{Stage: p.Stages[i].Name}, err
		}
	}
	output, cost, err := r.runStage(ctx, job, p, i, input)
	if err != nil {
		return nil, cost, err
	}
	return output, cost, job.Checkpoints.Save(ctx, i, output)
}

// runStage runs stage i of the pipeline until it has its whole output or a final error. It
// returns the cost in both cases.
func (r *Runner) runStage(ctx context.Context, job Job, p pipeline.Pipeline, i int, input []byte) ([]byte, request.StageCost, error) {
	s := &stageRun{
		runner:   r,
		job:      job,
		pipeline: p,
		index:    i,
		stage:    p.Stages[i],
		input:    input,
		tried:    map[string]bool{},
		cost:     request.StageCost{Stage: p.Stages[i].Name},
	}
	if i == len(p.Stages)-1 {
		s.sink = job.Sink
	}
	started := r.Clock.Now()
	output, err := s.run(ctx)
	s.cost.Millis = r.Clock.Since(started).Milliseconds()
	return output, s.cost, err
}

// candidateNames returns the candidates as the log and the history show them: the target's
// name followed by the flags that apply, such as "llm-1(Cold,Full)".
func candidateNames(candidates []router.Candidate) []string {
	list := make([]string, 0, len(candidates))
	for _, c := range candidates {
		list = append(list, c.Target.Name+candidateFlags(c))
	}
	return list
}

func candidateFlags(c router.Candidate) string {
	var set []string
	for _, f := range []struct {
		on   bool
		name string
	}{{!c.Warm, "Cold"}, {c.Leaving, "Leaving"}, {c.DataCentreOut, "Out"}, {c.Suspect, "Suspect"}, {!c.HasCapacity, "Full"}, {c.Tried, "Tried"}} {
		if f.on {
			set = append(set, f.name)
		}
	}
	if len(set) == 0 {
		return ""
	}
	return "(" + strings.Join(set, ",") + ")"
}
