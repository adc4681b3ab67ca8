// Package catalog defines the configuration that operators create: pipelines, tiers, accounts
// and targets, with a version number that only increases.
//
// A Document is immutable. A Change converts the document of version n to that of version
// n+1, so documents to which the same changes were applied are equal.
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

// ObjectType is the type of a configured object.
type ObjectType string

// The types of configured objects.
const (
	PipelineObject ObjectType = "Pipeline"
	TierObject     ObjectType = "Tier"
	AccountObject  ObjectType = "Account"
	TargetObject   ObjectType = "Target"
)

// Deletion removes one object.
type Deletion struct {
	// Noun is the type of the object. The stored JSON fixes the name of the field.
	Noun ObjectType
	Name string
}

// Change sets and deletes configured objects in one step. Its JSON form is stored.
type Change struct {
	// Version is the version of the configuration after the change.
	Version uint64
	// ID identifies the change, so that its author can find it after a lost reply.
	ID        string
	Pipelines []pipeline.Pipeline
	Tiers     []tier.Tier
	Accounts  []account.Account
	Targets   []target.Target
	Deletions []Deletion
}

// Check returns an error of kind Invalid if an object of the change is invalid.
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
			return problem.New(problem.Invalid, "deletion with the unknown noun %q, allowed are Pipeline, Tier, Account and Target", d.Noun)
		}
	}
	return nil
}

// Document is the whole configuration at one version, with each object under its name. The zero
// value is empty. Its JSON form is stored.
type Document struct {
	Version uint64
	// TargetsVersion is the newest version that changed a target.
	TargetsVersion uint64
	Pipelines      map[string]pipeline.Pipeline
	Tiers          map[string]tier.Tier
	Accounts       map[string]account.Account
	Targets        map[string]target.Target
}

// Apply returns the document after the change. It returns an error of kind Conflict unless the
// change has the next version.
func (d Document) Apply(c Change) (Document, error) {
	if c.Version != d.Version+1 {
		return d, problem.New(problem.Conflict, "the change has version %d, but the configuration has version %d", c.Version, d.Version)
	}
	next := d.copyForChange(c)
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

// copyForChange returns a copy with the version of the change. The maps that the change doesn't
// modify are shared with d.
func (d Document) copyForChange(c Change) Document {
	next := d
	next.Version = c.Version
	if c.modifies(PipelineObject, len(c.Pipelines)) {
		next.Pipelines = clonePipelines(d.Pipelines)
	}
	if c.modifies(TierObject, len(c.Tiers)) {
		next.Tiers = cloneTiers(d.Tiers)
	}
	if c.modifies(AccountObject, len(c.Accounts)) {
		next.Accounts = cloneAccounts(d.Accounts)
	}
	if c.modifies(TargetObject, len(c.Targets)) {
		next.Targets = cloneTargets(d.Targets)
		next.TargetsVersion = c.Version
	}
	return next
}

// modifies reports whether the change sets or deletes an object of the type; set is the number of
// objects that it sets.
func (c Change) modifies(objectType ObjectType, set int) bool {
	for _, deletion := range c.Deletions {
		if deletion.Noun == objectType {
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

// TargetsOfKind returns the targets of the kind, ordered by name.
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

// AccountByToken returns the account that accepts the token, and whether there is one.
func (d Document) AccountByToken(token string) (account.Account, bool) {
	hash := account.HashToken(token)
	for _, a := range d.Accounts {
		if a.TokenHash == hash && a.Accepts(token) {
			return a, true
		}
	}
	return account.Account{}, false
}

// Encode returns the JSON form in which documents and changes are stored and sent.
func Encode(v any) ([]byte, error) {
	return json.Marshal(v)
}

// DecodeChange decodes a stored change.
func DecodeChange(body []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(body, &c); err != nil {
		return c, problem.New(problem.Internal, "decode stored change: %v", err)
	}
	return c, nil
}

// DecodeDocument decodes a stored document.
func DecodeDocument(body []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(body, &d); err != nil {
		return d, problem.New(problem.Internal, "decode stored document: %v", err)
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
