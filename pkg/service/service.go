// Package service describes services, groups of targets that run the same kind of work: the
// capacity and limits of one target of a service.
//
// # Usage
//
//	s := table.Services["llm"]
//	if s.Engine != nil { ... } // a model engine
//	if s.Batch != nil { ... }  // runs the pieces of the stages of routes
package service

import "time"

// Service is the configuration of all targets of one service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections bounds the connections of all daemons together to one target; 0 means no
	// bound.
	MaxConnections int
	// Warmup is the time for which a target is cold after its start; 0 means never.
	Warmup time.Duration
	// ColdPerSecond is the rate of requests that one cold target can handle.
	ColdPerSecond float64
	// Engine is set for model engines.
	Engine *Engine
	// Batch is set for services that run the pieces of stages.
	Batch *Batch
}

// Engine describes one model engine, a target that runs generation requests.
type Engine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// CacheTokens is the memory for running requests and cached prompt parts together, in
	// tokens.
	CacheTokens int
	// BytesPerToken is the memory of one token in bytes.
	BytesPerToken int64
	// LinkBitsPerSecond is the bandwidth for the transfer of cached prompt parts between
	// engines.
	LinkBitsPerSecond float64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// Models are the names of the models that the engines of the service have loaded.
	Models []string
}

// Batch describes how one target runs the pieces of stages: each call to it carries a batch
// of pieces, the independent units of work of a stage.
type Batch struct {
	// Slots is the number of calls that run concurrently.
	Slots int
	// MaxQueued is the number of calls that may wait.
	MaxQueued int
	// MaxPieces is the largest number of pieces in one call.
	MaxPieces int
	// CallTime is the typical time of a call in addition to that of its pieces.
	CallTime time.Duration
	// PieceTime is the typical time that one piece adds.
	PieceTime time.Duration
	// ResultMemoryBytes is the memory of one target for results.
	ResultMemoryBytes int64
	// ResultLifetime is the time for which a result is stored after the end of its call.
	ResultLifetime time.Duration
	// LinkBitsPerSecond is the bandwidth for the transfer of results.
	LinkBitsPerSecond float64
}
