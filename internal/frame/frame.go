// Package frame encodes a streamed answer, from a target to a daemon and from a daemon to its
// caller: one JSON object per line, any number of texts followed by exactly one end mark, which
// carries the total length of the texts. A reader detects a truncated answer by the missing end
// mark or a wrong length.
//
// # Usage
//
//	writer := frame.NewWriter(w)
//	writer.Text([]byte("hello"))
//	writer.End(frame.End{Attempt: id, Tokens: 1}) // sets Bytes
//
//	reader := frame.NewReader(r)
//	f, err := reader.Next() // io.ErrUnexpectedEOF if the end mark is missing
//	err = reader.Finish()   // after the end mark
package frame

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// MaxLineBytes is the maximum length of one line that a Reader accepts.
const MaxLineBytes = 1 << 20

// Frame is one line: either a text or the end mark.
type Frame struct {
	Text string `json:",omitempty"`
	End  *End   `json:",omitempty"`
}

// End is the end mark of an answer.
type End struct {
	// Attempt is the ID of the attempt that the answer belongs to.
	Attempt string `json:",omitempty"`
	// Bytes is the total length of the texts in bytes.
	Bytes int64
	// Tokens is the number of tokens that the answer used, 0 if unknown.
	Tokens int64 `json:",omitempty"`
}

// Writer writes frames and counts the bytes of their texts.
type Writer struct {
	encoder *json.Encoder
	bytes   int64
}

// NewWriter returns a writer that writes frames to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{encoder: json.NewEncoder(w)}
}

// Text writes one text.
func (w *Writer) Text(text []byte) error {
	w.bytes += int64(len(text))
	return w.encoder.Encode(Frame{Text: string(text)})
}

// End writes the end mark with Bytes set to the length of the texts written so far.
func (w *Writer) End(end End) error {
	end.Bytes = w.bytes
	return w.encoder.Encode(Frame{End: &end})
}

// Reader reads frames and verifies the total length of their texts.
type Reader struct {
	scanner *bufio.Scanner
	bytes   int64
}

// NewReader returns a reader of the frames of r.
func NewReader(r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	return &Reader{scanner: scanner}
}

// Next returns the next frame. It fails with io.ErrUnexpectedEOF if the stream ends before its
// end mark, with kind TargetFailed if a line is malformed or the total length is wrong, and with
// bufio.ErrTooLong if a line is longer than MaxLineBytes.
func (r *Reader) Next() (Frame, error) {
	var f Frame
	if !r.scanner.Scan() {
		if err := r.scanner.Err(); err != nil {
			return f, err
		}
		return f, io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(r.scanner.Bytes(), &f); err != nil {
		return f, problem.New(problem.TargetFailed, "malformed frame: %v", err)
	}
	r.bytes += int64(len(f.Text))
	if f.End != nil && f.End.Bytes != r.bytes {
		return f, problem.New(problem.TargetFailed, "answer has %d bytes, but its end mark reports %d", r.bytes, f.End.Bytes)
	}
	return f, nil
}

// Finish returns an error of kind TargetFailed if the stream continues after the end mark.
func (r *Reader) Finish() error {
	if r.scanner.Scan() {
		return problem.New(problem.TargetFailed, "bytes after the end mark")
	}
	return r.scanner.Err()
}
