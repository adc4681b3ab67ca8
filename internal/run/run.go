// Package run carries a request through the stages of its pipeline: it splits the
// deadline over the stages, asks the router for a target, sends the attempt directly
// or through the guardian of a cold target, and retries or hedges what is idempotent.
//
// # Usage
//
//	runner := &run.Runner{Fleet: fleet, Links: links, Peers: peers, World: world, ...}
//	answer, err := runner.Run(ctx, run.Job{Request: r, Document: document, Sends: &sends})
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

// MaxAttempts bounds the attempts at one stage that may have reached a target.
const MaxAttempts = 4

// Cluster is what the runner needs to know of the rest of the system.
type Cluster interface {
	// DataCentreOut reports whether a data centre takes no new work.
	DataCentreOut(dataCentre string) bool
	// View returns the membership of a data centre as known here.
	View(dataCentre string) membership.View
	// BroadcastObservation tells the other daemons of the data centre what was seen of a target.
	BroadcastObservation(target string, seen fleet.StateChange)
}

// Runner runs requests.
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

// Checkpoints keeps the results of finished stages of a request that outlives its daemon.
type Checkpoints interface {
	// Load returns the output of a finished stage and whether there is one.
	Load(ctx context.Context, stage int) ([]byte, bool, error)
	// RecordIntent makes it durable that a non-idempotent stage is about to be sent.
	RecordIntent(ctx context.Context, stage int) error
	// Save keeps the output of a finished stage.
	Save(ctx context.Context, stage int, output []byte) error
}

// Job is one request to run.
type Job struct {
	Request    request.Request
	Document   catalog.Document
	SendRecord *request.SendRecord
	// Sink receives the texts of the last stage as they arrive; nil collects them.
	Sink func(text []byte) error
	// Checkpoints may be nil.
	Checkpoints Checkpoints
}

// LookupPipeline returns the pipeline and tier of a request at a configuration version.
func LookupPipeline(document catalog.Document, pipelineName, tierName string) (pipeline.Pipeline, tier.Tier, error) {
	p, ok := document.Pipelines[pipelineName]
	if !ok {
		return p, tier.Tier{}, problem.New(problem.NotFound, "pipeline %q", pipelineName)
	}
	t, ok := document.Tiers[tierName]
	if !ok {
		return p, t, problem.New(problem.NotFound, "tier %q", tierName)
	}
	return p, t, nil
}

// Run runs the request and returns its whole answer.
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
		output, cost, err := r.checkpointed(ctx, job, p, i, input)
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

func (r *Runner) checkpointed(ctx context.Context, job Job, p pipeline.Pipeline, i int, input []byte) ([]byte, request.StageCost, error) {
	if job.Checkpoints == nil {
		return r.stage(ctx, job, p, i, input)
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
	output, cost, err := r.stage(ctx, job, p, i, input)
	if err != nil {
		return nil, cost, err
	}
	return output, cost, job.Checkpoints.Save(ctx, i, output)
}

// stage runs one stage until it has a whole output, or can't have one.
func (r *Runner) stage(ctx context.Context, job Job, p pipeline.Pipeline, i int, input []byte) ([]byte, request.StageCost, error) {
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

// names returns the candidates in the form of the log and the history.
func names(candidates []router.Candidate) []string {
	list := make([]string, 0, len(candidates))
	for _, c := range candidates {
		list = append(list, c.Target.Name+flags(c))
	}
	return list
}

func flags(c router.Candidate) string {
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
