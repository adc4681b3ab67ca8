// Package problem defines the error kinds of the system and the HTTP status and RPC code of
// each kind.
//
// Every error that leaves the system has exactly one kind. The kind doesn't tell whether a
// rejected request may have run: packages request and forward state that a request was not
// run, and do so only from the record of its sends.
//
// # Usage
//
//	err := problem.New(problem.NotFound, "pipeline %q", name)
//	problem.Of(err).Answer().HTTPStatus // 404
package problem

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
)

// Kind is an error kind, one of the constants of this package.
type Kind string

// The error kinds; there are no others.
const (
	// Invalid is a malformed request or setting, or a value that is not allowed.
	Invalid Kind = "Invalid"
	// Unauthenticated is a caller or operator without a valid token.
	Unauthenticated Kind = "Unauthenticated"
	// NotFound is an object that doesn't exist or belongs to another account.
	NotFound Kind = "NotFound"
	// TooLarge is a body over the limit.
	TooLarge Kind = "TooLarge"
	// KeyMissing is a non-idempotent pipeline called without an idempotency key.
	KeyMissing Kind = "KeyMissing"
	// KeyReused is an idempotency key used with another pipeline, tier or input.
	KeyReused Kind = "KeyReused"
	// KeyUnverified is an idempotency key whose earlier use can't be looked up at present.
	KeyUnverified Kind = "KeyUnverified"
	// OverLimit is an account over its limit.
	OverLimit Kind = "OverLimit"
	// Infeasible is a deadline that can't be met.
	Infeasible Kind = "Infeasible"
	// Overloaded is a request rejected for lack of capacity.
	Overloaded Kind = "Overloaded"
	// Quarantined is a request with a part of its prompt that crashes targets.
	Quarantined Kind = "Quarantined"
	// DataCentreOut is a request to a data centre that accepts no new work.
	DataCentreOut Kind = "DataCentreOut"
	// Stopping is a request to a daemon that is shutting down or not ready.
	Stopping Kind = "Stopping"
	// Conflict is a change that is based on an outdated version.
	Conflict Kind = "Conflict"
	// Gone is something that no longer exists, such as history that was discarded.
	Gone Kind = "Gone"
	// Unavailable is a platform, peer or target that can't be reached or doesn't answer.
	Unavailable Kind = "Unavailable"
	// Late is a deadline that passed before the answer was complete.
	Late Kind = "Late"
	// TargetFailed is a stage that failed on every attempt.
	TargetFailed Kind = "TargetFailed"
	// OutcomeUnknown is a non-idempotent stage that may or may not have run.
	OutcomeUnknown Kind = "OutcomeUnknown"
	// Cancelled is a request that its caller has abandoned.
	Cancelled Kind = "Cancelled"
	// Internal is a fault of the system itself.
	Internal Kind = "Internal"
)

// Answer is how errors of a kind are reported to callers and operators.
type Answer struct {
	HTTPStatus int
	RPCCode    codes.Code
	// Retriable is set if the same request may succeed later.
	Retriable bool
}

// answers maps each kind to its answer; docs/ERRORS.md shows the same table.
var answers = map[Kind]Answer{
	Invalid:         {400, codes.InvalidArgument, false},
	Unauthenticated: {401, codes.Unauthenticated, false},
	NotFound:        {404, codes.NotFound, false},
	TooLarge:        {413, codes.ResourceExhausted, false},
	KeyMissing:      {400, codes.InvalidArgument, false},
	KeyReused:       {422, codes.FailedPrecondition, false},
	KeyUnverified:   {503, codes.Unavailable, true},
	OverLimit:       {429, codes.ResourceExhausted, true},
	Infeasible:      {503, codes.DeadlineExceeded, true},
	Overloaded:      {503, codes.ResourceExhausted, true},
	Quarantined:     {503, codes.FailedPrecondition, false},
	DataCentreOut:   {503, codes.Unavailable, true},
	Stopping:        {503, codes.Unavailable, true},
	Conflict:        {409, codes.Aborted, true},
	Gone:            {410, codes.OutOfRange, true},
	Unavailable:     {503, codes.Unavailable, true},
	Late:            {504, codes.DeadlineExceeded, true},
	TargetFailed:    {502, codes.Unavailable, true},
	OutcomeUnknown:  {504, codes.Unknown, false},
	Cancelled:       {499, codes.Canceled, true},
	Internal:        {500, codes.Internal, false},
}

// Kinds returns all error kinds in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for k := range answers {
		kinds = append(kinds, k)
	}
	return kinds
}

// Answer returns how errors of the kind are reported; an unknown kind is reported as Internal.
func (k Kind) Answer() Answer {
	a, ok := answers[k]
	if !ok {
		return answers[Internal]
	}
	return a
}

// Error is an error with a kind.
type Error struct {
	Kind   Kind
	Detail string
}

// Error returns the kind and the detail.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Detail
}

// New returns an error of the kind with a formatted detail and a stack trace.
func New(kind Kind, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Kind: kind, Detail: errors.Newf(format, args...).Error()}, 1)
}

// Of returns the kind of the error; an error without a kind is Internal.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Detail returns the text of the error without its kind and without texts that wrap it, or the
// whole text of an error without a kind.
func Detail(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}
