// Package catalog is the configuration that operators create: pipelines, tiers,
// accounts and targets under a version number that only rises.
//
// A Document is immutable. A Change turns the document of version n into that of
// version n+1, so documents that went through the same changes are equal.
//
// # Usage
//
//	next, err := document.Apply(catalog.Change{Version: document.Version + 1, Tiers: ...})
package catalog

import (
	"encoding/json"
	"maps"
	"sort"

	"github.com/sequoiapick/sequoiapick/pkg/account"
	"github.com/sequoiapick/sequoiapick/pkg/pipeline"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/target"
	"github.com/sequoiapick/sequoiapick/pkg/tier"
)

// ObjectType names a sort of configured object.
type ObjectType string

// The sorts of configured objects.
const (
	PipelineObject ObjectType = "Pipeline"
	TierObject     ObjectType = "Tier"
	AccountObject  ObjectType = "Account"
	TargetObject   ObjectType = "Target"
)

// Deletion removes one object.
type Deletion struct {
	Noun ObjectType
	Name string
}

// Change is one step of the configuration.
type Change struct {
	// Version is the version that the change leads to.
	Version uint64
	// ID makes the change recognisable after a lost answer.
	ID        string
	Pipelines []pipeline.Pipeline
	Tiers     []tier.Tier
	Accounts  []account.Account
	Targets   []target.Target
	Deletions []Deletion
}

// Check returns an error of kind Invalid if an object of the change is not well formed.
func (c Change) Check() error {
	for _, p := range c.Pipelines {
		if err := p.Check(); err != nil {
			return err
		}
	}
	for _, t := range c.Tiers {
		if err := t.Check(); err != nil {
			return err
		}
	}
	for _, a := range c.Accounts {
		if err := a.Check(); err != nil {
			return err
		}
	}
	for _, t := range c.Targets {
		if err := t.Check(); err != nil {
			return err
		}
	}
	for _, d := range c.Deletions {
		switch d.Noun {
		case PipelineObject, TierObject, AccountObject, TargetObject:
		default:
			return problem.New(problem.Invalid, "deletion of the unknown noun %q, allowed are Pipeline, Tier, Account and Target", d.Noun)
		}
	}
	return nil
}

// Document is the whole configuration at one version; the zero value is empty.
type Document struct {
	Version uint64
	// TargetsVersion is the version that last changed a target.
	TargetsVersion uint64
	Pipelines      map[string]pipeline.Pipeline
	Tiers          map[string]tier.Tier
	Accounts       map[string]account.Account
	Targets        map[string]target.Target
}

// Apply returns the document after the change, which must lead to the next version.
func (d Document) Apply(c Change) (Document, error) {
	if c.Version != d.Version+1 {
		return d, problem.New(problem.Conflict, "change leads to version %d, the configuration is at %d", c.Version, d.Version)
	}
	next := d.copyFor(c)
	for _, deletion := range c.Deletions {
		next.remove(deletion)
	}
	for _, p := range c.Pipelines {
		next.Pipelines[p.Name] = p
	}
	for _, t := range c.Tiers {
		next.Tiers[t.Name] = t
	}
	for _, a := range c.Accounts {
		next.Accounts[a.Name] = a
	}
	for _, t := range c.Targets {
		next.Targets[t.Name] = t
	}
	return next, nil
}

// copyFor returns a copy that shares the maps which the change doesn't touch.
func (d Document) copyFor(c Change) Document {
	next := d
	next.Version = c.Version
	if c.touches(PipelineObject, len(c.Pipelines)) {
		next.Pipelines = clonePipelines(d.Pipelines)
	}
	if c.touches(TierObject, len(c.Tiers)) {
		next.Tiers = cloneTiers(d.Tiers)
	}
	if c.touches(AccountObject, len(c.Accounts)) {
		next.Accounts = cloneAccounts(d.Accounts)
	}
	if c.touches(TargetObject, len(c.Targets)) {
		next.Targets = cloneTargets(d.Targets)
		next.TargetsVersion = c.Version
	}
	return next
}

// touches reports whether the change sets or deletes an object of the noun.
func (c Change) touches(noun ObjectType, set int) bool {
	for _, deletion := range c.Deletions {
		if deletion.Noun == noun {
			return true
		}
	}
	return set > 0
}

func (d *Document) remove(deletion Deletion) {
	switch deletion.Noun {
	case PipelineObject:
		delete(d.Pipelines, deletion.Name)
	case TierObject:
		delete(d.Tiers, deletion.Name)
	case AccountObject:
		delete(d.Accounts, deletion.Name)
	case TargetObject:
		delete(d.Targets, deletion.Name)
	}
}

// TargetsOfKind returns the targets of the kind, by name.
func (d Document) TargetsOfKind(kind string) []target.Target {
	var found []target.Target
	for _, t := range d.Targets {
		if t.Kind == kind {
			found = append(found, t)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found
}

// AccountByToken returns the account that accepts the token.
func (d Document) AccountByToken(token string) (account.Account, bool) {
	hash := account.HashToken(token)
	for _, a := range d.Accounts {
		if a.TokenHash == hash && a.Accepts(token) {
			return a, true
		}
	}
	return account.Account{}, false
}

// Encode returns the form in which documents and changes are stored and sent.
func Encode(v any) ([]byte, error) {
	return json.Marshal(v)
}

// DecodeChange reads a stored change.
func DecodeChange(body []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(body, &c); err != nil {
		return c, problem.New(problem.Internal, "stored change: %v", err)
	}
	return c, nil
}

// DecodeDocument reads a stored document.
func DecodeDocument(body []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(body, &d); err != nil {
		return d, problem.New(problem.Internal, "stored document: %v", err)
	}
	return d, nil
}

func clonePipelines(m map[string]pipeline.Pipeline) map[string]pipeline.Pipeline {
	if m == nil {
		return map[string]pipeline.Pipeline{}
	}
	return maps.Clone(m)
}

func cloneTiers(m map[string]tier.Tier) map[string]tier.Tier {
	if m == nil {
		return map[string]tier.Tier{}
	}
	return maps.Clone(m)
}

func cloneAccounts(m map[string]account.Account) map[string]account.Account {
	if m == nil {
		return map[string]account.Account{}
	}
	return maps.Clone(m)
}

func cloneTargets(m map[string]target.Target) map[string]target.Target {
	if m == nil {
		return map[string]target.Target{}
	}
	return maps.Clone(m)
}
