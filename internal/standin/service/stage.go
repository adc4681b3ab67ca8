package service

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// piece is a piece of a call to a stage target. ID is the ID of the attempt of its request, Stage the
// index of its stage and Piece its index in the stage. LeftMs is the time until the deadline in
// milliseconds. A piece has either a Key, which identifies the input of the request, or Inputs, the
// handles of results of earlier stages. checkPiece expects the key "key-" followed by the ID.
type piece struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	LeftMs int      `json:"leftMs"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// runStage runs a call to a stage target and stores a result for each piece whose inputs exist. It
// rejects the call as not run while another one runs.
func (s *Server) runStage(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []piece `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.untied[r.RemoteAddr] {
		s.recordViolation("a call follows an answer that names no result on the connection of %s", r.RemoteAddr)
	}
	if takeFault(&s.fault.Shed) || s.running > 0 {
		s.untied[r.RemoteAddr] = true
		setRetryAfter(w, s.fault.RetryAfter)
		s.mu.Unlock()
		rejectNotRun(w, http.StatusServiceUnavailable)
		return
	}
	repeat, fail, last := takeFault(&s.fault.RepeatCall), takeFault(&s.fault.FailPieces), s.lastCallAnswer
	s.running++
	s.mu.Unlock()
	time.Sleep(s.Profile.Work + time.Duration(len(call.Items))*s.Profile.Piece)
	type item struct {
		Handle string `json:"handle,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
	answer := struct {
		Items []item `json:"items"`
	}{}
	s.mu.Lock()
	held := len(s.storedHandles)
	for _, p := range call.Items {
		if fail {
			answer.Items = append(answer.Items, item{Reason: "error"})
			continue
		}
		if !s.checkPiece(p) {
			answer.Items = append(answer.Items, item{Reason: "gone"})
			continue
		}
		s.resultCount++
		handle := fmt.Sprintf("%s/%s-%d", s.address, s.ID, s.resultCount)
		s.storedHandles[handle] = true
		resultsMu.Lock()
		resultByHandle[handle] = result{p.ID, p.Stage, p.Piece}
		resultsMu.Unlock()
		answer.Items = append(answer.Items, item{Handle: handle})
	}
	s.running--
	s.untied[r.RemoteAddr] = len(s.storedHandles) == held
	body, err := json.Marshal(answer)
	if err != nil {
		s.recordViolation("answer: %v", err)
	}
	s.lastCallAnswer = body
	s.mu.Unlock()
	if repeat {
		body = last
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// checkPiece reports whether the inputs of a piece exist. It records a violation for a key or an
// input of another request, for both or neither of a key and inputs, for an input of the same or a
// later stage, and for an input given twice. The caller holds the lock.
func (s *Server) checkPiece(p piece) bool {
	if (p.Key == "") == (len(p.Inputs) == 0) {
		s.recordViolation("piece %+v must have a key or inputs", p)
	}
	if p.Key != "" && p.Key != "key-"+p.ID {
		s.recordViolation("piece %+v has the key of another request", p)
	}
	seen := map[result]bool{}
	for _, handle := range p.Inputs {
		resultsMu.Lock()
		got, ok := resultByHandle[handle]
		resultsMu.Unlock()
		if !ok {
			return false
		}
		if got.attempt != p.ID || got.stage >= p.Stage || seen[got] {
			s.recordViolation("piece %+v has the wrong input %+v", p, got)
		}
		seen[got] = true
	}
	return true
}

// freeResults deletes the results whose handles the body lists.
func (s *Server) freeResults(r *http.Request) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.untied[r.RemoteAddr] = true
	for _, handle := range call.Handles {
		delete(s.storedHandles, handle)
		resultsMu.Lock()
		delete(resultByHandle, handle)
		resultsMu.Unlock()
	}
}
