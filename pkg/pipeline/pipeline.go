// Package pipeline describes the multi-stage pipelines that operators create.
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

// Stage is one step of a pipeline; its input is the output of the step before.
type Stage struct {
	// Name identifies the stage inside its pipeline.
	Name string
	// Kind names the kind of target that runs the stage.
	Kind string
	// Idempotent says that the stage may be run more than once.
	Idempotent bool
}

// Pipeline is an ordered list of stages.
type Pipeline struct {
	Name   string
	Stages []Stage
}

// Idempotent reports whether every stage may be run more than once.
func (p Pipeline) Idempotent() bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return false
		}
	}
	return true
}

// Check returns an error of kind Invalid if the pipeline is not well formed.
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
