// Package delta encodes a value relative to an earlier one, so that a small change of a large value
// is a short message. Without an earlier value it only compresses.
//
// # Usage
//
//	encoded, err := delta.Encode(value, base)
//	value, err := delta.Decode(encoded, base) // with the same base
package delta

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

const (
	// dictionaryID is any ID; both sides know the dictionary without it.
	dictionaryID = 1
	// minWindowBits is the binary logarithm of the smallest window that the format allows.
	minWindowBits = 10
	// maxValueBytes limits the size of a decoded value.
	maxValueBytes = 16 << 20
)

// Encode returns the value relative to the base, which may be empty. Its error has kind Internal.
func Encode(value, base []byte) ([]byte, error) {
	// The window must reach back from the end of the value to the start of the base.
	window := 1 << max(bits.Len(uint(len(value)+len(base))), minWindowBits)
	options := []zstd.EOption{zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(min(window, zstd.MaxWindowSize))}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, problem.New(problem.Internal, "encode delta: %v", err)
	}
	encoded := encoder.EncodeAll(value, nil)
	if err := encoder.Close(); err != nil {
		return nil, problem.New(problem.Internal, "encode delta: %v", err)
	}
	return encoded, nil
}

// Decode returns the value that Encode has encoded relative to the same base. Its error has kind
// Invalid if the encoded bytes are malformed, belong to another base or exceed the size limit.
func Decode(encoded, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxValueBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, problem.New(problem.Internal, "decode delta: %v", err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(encoded, nil)
	if err != nil {
		return nil, problem.New(problem.Invalid, "malformed delta: %v", err)
	}
	return value, nil
}
