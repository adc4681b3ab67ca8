// Package event defines the numbered log events and the sink that writes log lines. Operators
// find the events in docs/EVENTS.md; a test checks that it lists the same meanings.
//
// # Usage
//
//	log := event.Log{Logger: logger}
//	log.Emit(event.StageRouted, "Request", id, "Target", name)
package event

import (
	"github.com/go-logr/logr"
)

// Event is one kind of log line.
type Event struct {
	// Number and Name identify the event and never change.
	Number int
	Name   string
	// Meaning is a sentence for operators.
	Meaning string
}

// The events. Those of one subject share the hundreds of their numbers.
var (
	DaemonStarted          = Event{100, "DaemonStarted", "the daemon accepts requests on its addresses"}
	DaemonStopping         = Event{101, "DaemonStopping", "the daemon has begun a planned stop"}
	DaemonStopped          = Event{102, "DaemonStopped", "the daemon has finished a planned stop"}
	StepFailed             = Event{103, "StepFailed", "a step of the daemon's start or stop failed"}
	LoopFailed             = Event{104, "LoopFailed", "a background task or a call of another daemon failed; periodic tasks are retried"}
	SettingsRead           = Event{105, "SettingsRead", "the daemon has read its settings file again"}
	SettingsRefused        = Event{106, "SettingsRefused", "the changed settings file is invalid; the daemon continues with the old settings"}
	LinesDropped           = Event{107, "LinesDropped", "the daemon dropped log lines to limit their volume"}
	TaskFailed             = Event{108, "TaskFailed", "a task that the daemon needs failed; the process ends"}
	RequestAdmitted        = Event{200, "RequestAdmitted", "a request was admitted under the given configuration version"}
	RequestRefused         = Event{201, "RequestRefused", "a request was rejected before any of its stages ran"}
	RequestAnswered        = Event{202, "RequestAnswered", "the complete answer of a request was produced"}
	RequestFailed          = Event{203, "RequestFailed", "a request failed after it was admitted"}
	EntryRefused           = Event{204, "EntryRefused", "a client's request was rejected or failed at the entry host"}
	EntryAnswered          = Event{207, "EntryAnswered", "a target answered a client's request"}
	EntryAbandoned         = Event{205, "EntryAbandoned", "a client disconnected before its answer was complete"}
	StreamBroken           = Event{206, "StreamBroken", "an answer stream to a client was cut off before its end"}
	RolloutStarted         = Event{260, "RolloutStarted", "operators have ordered a rollout of a version of a service, or changed its deadline"}
	RolloutMalformed       = Event{261, "RolloutMalformed", "an order of a rollout, or its stored state, is malformed and is not used"}
	RolloutPhaseChanged    = Event{262, "RolloutPhaseChanged", "this daemon knows a new phase of a rollout; the source is the store or a daemon"}
	RolloutVerdict         = Event{263, "RolloutVerdict", "the leader has reached a verdict on the version of a rollout, for the given reason"}
	RolloutStatusWritten   = Event{264, "RolloutStatusWritten", "the leader has reported the state of a rollout to operators"}
	RolloutStateRefused    = Event{265, "RolloutStateRefused", "the platform's store has not taken the state of a rollout; the leader reads it again, or writes it again later"}
	RolloutEnded           = Event{266, "RolloutEnded", "the order of a rollout was removed, so that requests go to all versions of the service"}
	RolloutLapsed          = Event{267, "RolloutLapsed", "the order of a rollout is missing since the platform's store was restored; it ends after a grace period unless it is given again"}
	RolloutGrantRefused    = Event{268, "RolloutGrantRefused", "the leader has granted no more requests to the new version of a rollout, because its allowance is used up"}
	VersionWithheld        = Event{269, "VersionWithheld", "the targets of a version that is new for its service get no requests until this daemon's copy of the operators' table is as recent as their rows"}
	VersionReleased        = Event{270, "VersionReleased", "the targets of a version that was withheld get requests"}
	VersionDeclined        = Event{271, "VersionDeclined", "this daemon rejected the engine that the leader assigned, because its version must not get requests"}
	MemoryShort            = Event{280, "MemoryShort", "this daemon holds so much for clients and targets that it has rejected requests or held back answers in the last second"}
	ClientSlow             = Event{281, "ClientSlow", "a client didn't read its answer in time, so that the rest of it was dropped and its connection closed"}
	TargetBoundLearned     = Event{282, "TargetBoundLearned", "the bound of what targets of a service can hold was learned, or changed, from targets that ended; 0 means that there is none any more"}
	TargetsFull            = Event{283, "TargetsFull", "a request was sent to no target since the usable ones hold as much as their learned memory allows"}
	StageRouted            = Event{300, "StageRouted", "a target was chosen for an attempt at a stage"}
	StageHeld              = Event{301, "StageHeld", "a stage waits until a target has capacity"}
	StageRefused           = Event{302, "StageRefused", "a stage was rejected because no target can run it in time"}
	AttemptFailed          = Event{303, "AttemptFailed", "an attempt at a target failed"}
	AttemptForwarded       = Event{304, "AttemptForwarded", "an attempt was forwarded to the guardian of a cold target, which is the only daemon that sends to it"}
	AttemptHedged          = Event{305, "AttemptHedged", "a second attempt at a stage was started because the first one is slow"}
	LateAnswerDropped      = Event{306, "LateAnswerDropped", "the answer of an attempt was dropped because another attempt answered first"}
	EngineAssigned         = Event{309, "EngineAssigned", "all stages of a request are done and an engine was assigned to it"}
	JobRejected            = Event{310, "JobRejected", "a request was rejected because its stages can't be completed or no engine is available"}
	StageCallEnded         = Event{311, "StageCallEnded", "a call to a stage target returned its results"}
	WorkHandedOver         = Event{312, "WorkHandedOver", "this daemon handed its scheduled requests over to the new leader"}
	WorkInherited          = Event{313, "WorkInherited", "this daemon leads now and resumes from the results and calls of a former leader that is not alive"}
	PartSuspected          = Event{314, "PartSuspected", "an engine broke off its answer to a request before the first event, which is evidence against the parts of the prompt"}
	PartQuarantined        = Event{315, "PartQuarantined", "requests with a part of a prompt are rejected because engines crash when they answer them"}
	PartReleased           = Event{316, "PartReleased", "requests with a formerly quarantined part of a prompt are sent to engines again"}
	AnswerUnconfirmed      = Event{317, "AnswerUnconfirmed", "an answer ended with its connection and counts as incomplete, since the start of its target isn't confirmed"}
	RequestSuspected       = Event{318, "RequestSuspected", "a target ended while it ran a request, which is evidence against all requests with its fingerprint"}
	RequestQuarantined     = Event{319, "RequestQuarantined", "requests with a fingerprint are rejected because targets crash when they run them"}
	RequestReleased        = Event{320, "RequestReleased", "requests with a formerly quarantined fingerprint are sent to targets again"}
	StageCallFailed        = Event{307, "StageCallFailed", "a call to a stage target failed; if it ran pieces, they go to another target"}
	TargetDeclined         = Event{308, "TargetDeclined", "this daemon rejected the target that the leader assigned, since it knows the target to accept no new requests"}
	TargetCold             = Event{400, "TargetCold", "a target has become cold"}
	TargetLeaving          = Event{401, "TargetLeaving", "a target is leaving, or its host is no longer listed as leaving"}
	TargetMalformed        = Event{402, "TargetMalformed", "a row of the targets or members table is malformed and is not used"}
	TargetHeld             = Event{403, "TargetHeld", "a target wants no requests of this daemon for the given time"}
	LoadMalformed          = Event{404, "LoadMalformed", "another daemon has relayed an impossible load of a target, which is not used"}
	TargetLimited          = Event{405, "TargetLimited", "a target has named a rate limit, a new one, or none any more (0 requests per second); the source is the host that received the answer"}
	LimitMalformed         = Event{406, "LimitMalformed", "a target has named a rate limit that is no positive decimal number and is not used"}
	MembershipAdopted      = Event{500, "MembershipAdopted", "the daemon uses a new epoch of the membership"}
	MembershipFrozen       = Event{501, "MembershipFrozen", "the membership can't be changed because the platform's table can't be reached"}
	MemberSwept            = Event{502, "MemberSwept", "members were removed because their hosts are no longer listed"}
	PauseDetected          = Event{503, "PauseDetected", "the daemon's process was paused for the given time"}
	LinkLost               = Event{504, "LinkLost", "the link to another daemon was lost or can't be opened; this daemon tries to open it again"}
	LeaderChanged          = Event{505, "LeaderChanged", "the leader of the cluster has changed; an empty leader means that there is none"}
	MemberLearned          = Event{506, "MemberLearned", "this daemon learned of another daemon or of a new incarnation of one"}
	DataCentreCut          = Event{507, "DataCentreCut", "a data centre can't be reached from this daemon"}
	DataCentreReached      = Event{508, "DataCentreReached", "a data centre can be reached from this daemon again"}
	ConfigurationRaised    = Event{600, "ConfigurationRaised", "a newer configuration is in use"}
	ConfigurationStale     = Event{601, "ConfigurationStale", "a configuration is not used because it is older than the current one or its row is malformed"}
	DataCentreOut          = Event{602, "DataCentreOut", "an operator's order has taken a data centre out of service"}
	DataCentreIn           = Event{603, "DataCentreIn", "all orders that took a data centre out of service were cancelled"}
	TableRequested         = Event{604, "TableRequested", "an update of another daemon leaves a gap after this daemon's copy of a table, so that the whole table was requested from it"}
	StoreRestored          = Event{605, "StoreRestored", "the platform's store was restored from an older copy; this daemon's copy of the table is of the era before"}
	DataCentreOutLapsed    = Event{606, "DataCentreOutLapsed", "the order that took a data centre out of service is missing since the platform's store was restored; it ends after a grace period unless it is given again"}
	ConfigurationRewritten = Event{607, "ConfigurationRewritten", "the platform's table was restored from an older copy and lacks changes of the configuration, which this daemon commits again"}
	KeyClaimed             = Event{700, "KeyClaimed", "an idempotency key was claimed in the platform's table"}
	KeyForwarded           = Event{701, "KeyForwarded", "a request with an idempotency key was forwarded to the daemon that owns the key"}
	ClaimsRewritten        = Event{705, "ClaimsRewritten", "the platform's table was restored from an older copy; this daemon wrote its claims of idempotency keys again"}
	KeyUnverified          = Event{702, "KeyUnverified", "the earlier use of an idempotency key can't be looked up in the platform's table"}
	KeysHandedOver         = Event{703, "KeysHandedOver", "idempotency keys and stored answers were handed over to the successor of this daemon"}
	KeysInherited          = Event{704, "KeysInherited", "this daemon took over idempotency keys and stored answers of a stopped daemon"}
	DraftAccepted          = Event{800, "DraftAccepted", "an asynchronous request was stored durably as a draft"}
	DraftTakenOver         = Event{801, "DraftTakenOver", "a draft was taken over from a daemon that was lost"}
	DraftFinished          = Event{802, "DraftFinished", "a draft has its final result"}
	OrderSent              = Event{900, "OrderSent", "an order was sent to a target"}
	OrderRefused           = Event{901, "OrderRefused", "an order to a target was rejected or not sent"}
)

// Catalogue returns all events in the order of docs/EVENTS.md.
func Catalogue() []Event {
	return []Event{
		DaemonStarted, DaemonStopping, DaemonStopped, StepFailed, LoopFailed, SettingsRead, SettingsRefused,
		LinesDropped, TaskFailed,
		RequestAdmitted, RequestRefused, RequestAnswered, RequestFailed, EntryRefused, EntryAbandoned, StreamBroken,
		EntryAnswered,
		RolloutStarted, RolloutMalformed, RolloutPhaseChanged, RolloutVerdict, RolloutStatusWritten, RolloutStateRefused,
		RolloutEnded, RolloutLapsed, RolloutGrantRefused, VersionWithheld, VersionReleased, VersionDeclined,
		MemoryShort, ClientSlow, TargetBoundLearned, TargetsFull,
		StageRouted, StageHeld, StageRefused, AttemptFailed, AnswerUnconfirmed, AttemptForwarded, AttemptHedged, LateAnswerDropped,
		StageCallFailed, TargetDeclined, EngineAssigned, JobRejected, StageCallEnded, WorkHandedOver, WorkInherited,
		PartSuspected, PartQuarantined, PartReleased, RequestSuspected, RequestQuarantined, RequestReleased,
		TargetCold, TargetLeaving, TargetMalformed, TargetHeld, LoadMalformed, TargetLimited, LimitMalformed,
		MembershipAdopted, MembershipFrozen, MemberSwept, PauseDetected, LinkLost, LeaderChanged, MemberLearned,
		DataCentreCut, DataCentreReached,
		ConfigurationRaised, ConfigurationStale, DataCentreOut, DataCentreIn, TableRequested,
		StoreRestored, DataCentreOutLapsed, ConfigurationRewritten, KeyClaimed, KeyForwarded, KeyUnverified, KeysHandedOver, KeysInherited, ClaimsRewritten,
		DraftAccepted, DraftTakenOver, DraftFinished,
		OrderSent, OrderRefused,
	}
}

// Log writes events to a logger; the zero value discards them.
type Log struct {
	Logger logr.Logger
}

// Emit writes a log line with the event's name as message, its number under the key Event, and
// the given keys and values.
func (l Log) Emit(e Event, keysAndValues ...any) {
	l.Logger.Info(e.Name, append([]any{"Event", e.Number}, keysAndValues...)...)
}
