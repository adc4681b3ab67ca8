package dispatch

import (
	"time"
)

// Piece is one piece of a stage as part of a call.
type Piece struct {
	// Job is the ID of the job, Stage the index of the stage in Job.Stages, Index that of the
	// piece in the stage.
	Job   string
	Stage int
	Index int
	// Remaining is the time until the job's deadline.
	Remaining time.Duration
	// Key is Job.Key if the stage needs no other stage's results. Otherwise it is empty, and
	// Inputs holds the handles of all results of the stages in Stage.After, in the order of
	// these stages and their pieces.
	Key    string
	Inputs []string
}

// PieceFailure says why a piece has no result.
type PieceFailure string

// The failures of a piece.
const (
	// Late means that the deadline of the piece had passed before the target ran it.
	Late PieceFailure = "Late"
	// InputGone means that an input no longer exists.
	InputGone PieceFailure = "InputGone"
	// NoRoom means that the target had no free memory for the result.
	NoRoom PieceFailure = "NoRoom"
	// Broken is any other failure.
	Broken PieceFailure = "Broken"
)

// Result is the outcome of one piece: the handle that names the result at its target, or a
// failure.
type Result struct {
	Handle  string
	Failure PieceFailure
}

// CallFailure says why a call has no answer.
type CallFailure string

// The failures of a call.
const (
	// Full means that the target rejected the call because it had no free slot.
	Full CallFailure = "Full"
	// Lost means that the call was sent and ended without an answer. The target still runs it.
	Lost CallFailure = "Lost"
	// Unreached means that the target accepted no connection.
	Unreached CallFailure = "Unreached"
)

// Action is an instruction or a report to the caller: StartCall, FreeResults, Progress,
// Finish, Reject, HandedOver or HandoverComplete.
type Action interface{ isAction() }

// StartCall asks the caller to send a call to a target.
type StartCall struct {
	// Call is the ID to report the outcome under, with CallEnded or CallFailed.
	Call   uint64
	Target Target
	Pieces []Piece
	// Started is the time of the decision, Expected the predicted duration of the call.
	Started  time.Time
	Expected time.Duration
	// Bytes is the memory that the results need at the target.
	Bytes int64
}

// FreeResults asks the caller to free the results with these handles at a target.
type FreeResults struct {
	Target  Target
	Handles []string
}

// Progress reports completed pieces of a job, so that another planner can resume from them. An
// event returns at most one Progress per job.
type Progress struct {
	Job       string
	Completed []CompletedPiece
	// Released lists the indices of the stages whose results were freed.
	Released []int
}

// Finish reports that all stages of a job are done.
type Finish struct {
	Job string
	// Inputs are the handles of the final stages' results, in the order of stages and pieces.
	Inputs []string
	// InputBytes is the size of the inputs in bytes by data centre.
	InputBytes map[string]int64
	// StageTimings holds the times of the stages that have pieces.
	StageTimings []StageTiming
}

// Reject reports that a job can't be done. Its results are freed.
type Reject struct {
	Job    string
	Reason Reason
	// RetryAfter is the time after which the client may retry; 0 if the Reason isn't
	// Overloaded.
	RetryAfter time.Duration
	// Service is the service that caused the rejection, empty for Failing. Pressure is the
	// demand on it divided by its capacity up to the forecast horizon; 0 if unknown.
	Service  string
	Pressure float64
	// StageTimings holds the times of the stages up to the rejection.
	StageTimings []StageTiming
}

// HandedOver reports that a job was handed over to another planner and which of its pieces
// still run.
type HandedOver struct {
	Job     string
	Running []RunningPiece
}

// HandoverComplete reports that no call runs any more for a job that was handed over.
type HandoverComplete struct {
	Job string
}

// Reason is the reason of a rejection.
type Reason string

// The reasons of a rejection.
const (
	// TooLate means that the stages can't be done before the deadline.
	TooLate Reason = "TooLate"
	// Overloaded means that jobs with a higher value density use the capacity.
	Overloaded Reason = "Overloaded"
	// Failing means that pieces failed too often.
	Failing Reason = "Failing"
	// NoTarget means that a service has no usable target. The planner itself doesn't return
	// it; package scheduler uses it for requests without an engine.
	NoTarget Reason = "NoTarget"
	// Quarantined means that the prompt has a part that crashes engines. The planner itself
	// doesn't return it either.
	Quarantined Reason = "Quarantined"
	// Limited means that all engines name rate limits that the request would wait for beyond its deadline. The
	// planner itself doesn't return it either.
	Limited Reason = "Limited"
)

func (StartCall) isAction()        {}
func (FreeResults) isAction()      {}
func (Progress) isAction()         {}
func (Finish) isAction()           {}
func (Reject) isAction()           {}
func (HandedOver) isAction()       {}
func (HandoverComplete) isAction() {}
