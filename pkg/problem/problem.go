// Package problem is the closed list of error kinds and the table from kind to answer.
//
// Every error that leaves the system carries exactly one kind. Whether a refusal may
// say "not run" is not a property of the kind: that statement is made by package
// request alone, from the record of what was sent.
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

// Kind is one entry of the closed list of error kinds.
type Kind string

// The closed list of error kinds.
const (
	// Invalid is a request or setting that is not well formed.
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
	// KeyUnverified is a key whose earlier use can't be looked up now.
	KeyUnverified Kind = "KeyUnverified"
	// OverLimit is an account over its limit.
	OverLimit Kind = "OverLimit"
	// Infeasible is a deadline that can't be met.
	Infeasible Kind = "Infeasible"
	// Overloaded is a request shed for lack of capacity.
	Overloaded Kind = "Overloaded"
	// DataCentreOut is a request to a data centre that takes no new work.
	DataCentreOut Kind = "DataCentreOut"
	// Stopping is a request to a daemon that is shutting down or not ready.
	Stopping Kind = "Stopping"
	// Conflict is a change made against an older version.
	Conflict Kind = "Conflict"
	// Gone is something that no longer exists, such as history that was discarded.
	Gone Kind = "Gone"
	// Unavailable is a platform, peer or target that can't be reached.
	Unavailable Kind = "Unavailable"
	// Late is a deadline that passed before the answer was whole.
	Late Kind = "Late"
	// TargetFailed is a stage that failed on every attempt.
	TargetFailed Kind = "TargetFailed"
	// OutcomeUnknown is a non-idempotent stage that may or may not have run.
	OutcomeUnknown Kind = "OutcomeUnknown"
	// Cancelled is a request that its caller gave up.
	Cancelled Kind = "Cancelled"
	// Internal is a fault of the system itself.
	Internal Kind = "Internal"
)

// Answer is how a kind is told to callers and operators.
type Answer struct {
	HTTPStatus int
	RPCCode    codes.Code
	// Retriable says that the same request may succeed later.
	Retriable bool
}

// answers is the table from kind to answer.
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

// Kinds returns the closed list.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for k := range answers {
		kinds = append(kinds, k)
	}
	return kinds
}

// Answer returns the kind's row of the table; an unlisted kind answers as Internal.
func (k Kind) Answer() Answer {
	a, ok := answers[k]
	if !ok {
		return answers[Internal]
	}
	return a
}

// Error is an error of one kind.
type Error struct {
	Kind   Kind
	Detail string
}

// Error returns the kind and the detail.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Detail
}

// New returns an error of the kind with a formatted detail.
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

// Detail returns the text of the error without its kind.
func Detail(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}
