package service

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// Execution is the journal entry of one request. Calls to stage targets have none.
type Execution struct {
	// AttemptID is the X-Attempt-Id header.
	AttemptID string
	Method    string
	// URI is the path and the query.
	URI string
	// Body is the Hash of the body.
	Body string
	// Account is the X-Tenant header.
	Account string
	// Key is the Authorization header.
	Key string
	// Deadline is the X-Deadline-Ms header in milliseconds; 0 if it isn't a number.
	Deadline int
	// Parts is the X-Prompt-Prefix header.
	Parts string
	// At is the time at which the request was admitted, Host the IP of the host that sent it.
	At   time.Time
	Host string
	// Flawed is set if the Flaw of the profile applied.
	Flawed bool
}

// Journal returns the requests that were run, in order.
func (s *Server) Journal() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.journal...)
}

// Arrival is the arrival of a request, rejected ones included.
type Arrival struct {
	At time.Time
	// Host is the IP of the host that sent it, Path its path.
	Host, Path string
}

// Requests returns the arrivals of all requests, rejected ones included.
func (s *Server) Requests() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Arrivals returns the times of Requests.
func (s *Server) Arrivals() []time.Time {
	var times []time.Time
	for _, r := range s.Requests() {
		times = append(times, r.At)
	}
	return times
}

// recordExecution adds a request to the journal. The caller holds the lock.
func (s *Server) recordExecution(r *http.Request, body []byte) {
	deadline, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		deadline = 0 // no valid request has this value
	}
	s.journal = append(s.journal, Execution{
		Host:      senderOf(r),
		AttemptID: r.Header.Get("X-Attempt-Id"),
		Method:    r.Method,
		URI:       r.RequestURI,
		Body:      Hash(body),
		Account:   r.Header.Get("X-Tenant"),
		Key:       r.Header.Get("Authorization"),
		Deadline:  deadline,
		Parts:     r.Header.Get("X-Prompt-Prefix"),
		At:        time.Now(),
	})
}

// senderOf returns the IP of the host that sent a request.
func senderOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
