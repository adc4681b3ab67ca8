// Package frame is the form of a streamed answer: one JSON object a line, any number
// of texts and exactly one end mark, which carries the length of all texts.
//
// # Usage
//
//	writer := frame.NewWriter(w)
//	writer.Text([]byte("hello"))
//	writer.End(frame.End{Attempt: id, Tokens: 1})
//
//	reader := frame.NewReader(r)
//	f, err := reader.Next() // io.ErrUnexpectedEOF if the end mark is missing
package frame

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// MaxLineBytes bounds one line.
const MaxLineBytes = 1 << 20

// Frame is one line: a text, or the end mark.
type Frame struct {
	Text string `json:",omitempty"`
	End  *End   `json:",omitempty"`
}

// End closes an answer.
type End struct {
	// Attempt is the ID of the attempt that the answer belongs to.
	Attempt string `json:",omitempty"`
	// Bytes is the length of all texts together.
	Bytes  int64
	Tokens int64 `json:",omitempty"`
}

// Writer writes frames and counts their bytes.
type Writer struct {
	encoder *json.Encoder
	bytes   int64
}

// NewWriter returns a writer on w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{encoder: json.NewEncoder(w)}
}

// Text writes one text.
func (w *Writer) Text(text []byte) error {
	w.bytes += int64(len(text))
	return w.encoder.Encode(Frame{Text: string(text)})
}

// End writes the end mark with the number of bytes written so far.
func (w *Writer) End(end End) error {
	end.Bytes = w.bytes
	return w.encoder.Encode(Frame{End: &end})
}

// Reader reads frames and verifies their length.
type Reader struct {
	scanner *bufio.Scanner
	bytes   int64
}

// NewReader returns a reader on r.
func NewReader(r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	return &Reader{scanner: scanner}
}

// Next returns the next frame. A stream that stops before its end mark fails with
// io.ErrUnexpectedEOF, a wrong length with kind TargetFailed.
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
		return f, problem.New(problem.TargetFailed, "answer of %d bytes says that it has %d", r.bytes, f.End.Bytes)
	}
	return f, nil
}

// Finish verifies that the stream ends behind the end mark.
func (r *Reader) Finish() error {
	if r.scanner.Scan() {
		return problem.New(problem.TargetFailed, "bytes after the end mark")
	}
	return r.scanner.Err()
}
