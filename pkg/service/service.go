// Package service describes the services that requests are sent to: what one target of
// a service can take, and what it runs.
//
// # Usage
//
//	s := table.Services["llm"]
//	if s.Engine != nil { ... } // a model engine
//	if s.Batch != nil { ... }  // runs the pieces of pipeline stages
package service

import "time"

// Service is what operators configure for all targets of one service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is what one target accepts from all callers together.
	MaxConnections int
	// Warmup is the time for which a target is cold after its start; 0 means never.
	Warmup time.Duration
	// ColdPerSecond is the rate of requests that one cold target bears.
	ColdPerSecond float64
	// Engine is set for model engines.
	Engine *Engine
	// Batch is set for services that run the pieces of stages.
	Batch *Batch
}

// Engine describes one model engine.
type Engine struct {
	// Slots is the number of requests that run at a time.
	Slots int
	// CacheTokens is the memory shared by running requests and cached prompt parts.
	CacheTokens int
	// BytesPerToken is the memory of one token.
	BytesPerToken int64
	// LinkBitsPerSecond is the bandwidth for moving memory between engines.
	LinkBitsPerSecond float64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// Models names what the engines of the service have loaded.
	Models []string
}

// Batch describes how one target runs the pieces of stages.
type Batch struct {
	// Slots is the number of calls that run at a time.
	Slots int
	// MaxQueued is the number of calls that may wait.
	MaxQueued int
	// MaxPieces is the largest number of pieces in one call.
	MaxPieces int
	// CallTime is the time of a call without its pieces.
	CallTime time.Duration
	// PieceTime is the typical time that one piece adds.
	PieceTime time.Duration
	// ResultMemoryBytes is the memory for results.
	ResultMemoryBytes int64
	// ResultLifetime is the time after the end of its call for which a result is kept.
	ResultLifetime time.Duration
	// LinkBitsPerSecond is the bandwidth for results.
	LinkBitsPerSecond float64
}
