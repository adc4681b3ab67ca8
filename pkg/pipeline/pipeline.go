// Package pipeline describes pipelines, the sequences of stages that operators configure and
// requests run. The stages of routes are of another type, see package route.
//
// # Usage
//
//	p := pipeline.Pipeline{Name: "draft", Stages: []pipeline.Stage{
//		{Name: "retrieve", Kind: "retriever", Idempotent: true},
//		{Name: "generate", Kind: "llm", Idempotent: true},
//	}}
//	if err := p.Check(); err != nil { ... }
package pipeline

import "github.com/sequoiapick/sequoiapick/pkg/problem"

// MaxStages bounds the number of stages of one pipeline.
const MaxStages = 16

// Stage is one step of a pipeline; its input is the output of the previous stage.
type Stage struct {
	// Name identifies the stage within its pipeline.
	Name string
	// Kind is the kind of targets that run the stage, see target.Target.
	Kind string
	// Idempotent is set if the stage may be run more than once for a request.
	Idempotent bool
}

// Pipeline is an ordered list of stages.
type Pipeline struct {
	Name   string
	Stages []Stage
}

// Idempotent reports whether every stage may be run more than once for a request.
func (p Pipeline) Idempotent() bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return false
		}
	}
	return true
}

// Check returns an error of kind Invalid unless the pipeline has a name and 1 to MaxStages
// stages with a kind and distinct names.
func (p Pipeline) Check() error {
	if p.Name == "" {
		return problem.New(problem.Invalid, "pipeline without a name")
	}
	if len(p.Stages) == 0 || len(p.Stages) > MaxStages {
		return problem.New(problem.Invalid, "pipeline %q has %d stages, allowed are 1 to %d", p.Name, len(p.Stages), MaxStages)
	}
	seen := map[string]bool{}
	for _, s := range p.Stages {
		if s.Name == "" || s.Kind == "" {
			return problem.New(problem.Invalid, "pipeline %q has a stage without a name or kind", p.Name)
		}
		if seen[s.Name] {
			return problem.New(problem.Invalid, "pipeline %q has two stages named %q", p.Name, s.Name)
		}
		seen[s.Name] = true
	}
	return nil
}
