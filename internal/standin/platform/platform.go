// Package platform is a small stand-in of the platform's metadata store for tests and
// demonstrations: rows in tables with transactions under conditions, ranges and feeds,
// and objects, all in memory, over the published protocol. Its faults can be set from
// outside.
//
// # Usage
//
//	server := &platform.Server{}
//	err := server.Serve(ctx, listener)
package platform

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/platform"
)

// Paths of the control interface.
const (
	FaultPath    = "/control/fault"
	SetHostsPath = "/control/hosts"
	CountPath    = "/control/count"
	PutPath      = "/control/put"
	RemovePath   = "/control/remove"
	CompactPath  = "/control/compact"
)

// MaxBodyBytes bounds one call.
const MaxBodyBytes = 64 << 20

// hostsTable holds the host list.
const hostsTable = "hosts"

// Fault is what goes wrong until another fault is set.
type Fault struct {
	// Down refuses every call.
	Down bool
	// Silent answers no call; its connections stay open.
	Silent bool
	// Busy answers every call with 429.
	Busy bool
	// DelayMillis holds every call back.
	DelayMillis int
	// LoseAnswers is the number of transactions that are applied without an answer.
	LoseAnswers int
	// CutHosts lists prefixes of the hosts whose calls are refused.
	CutHosts []string
	// StaleReads serves reads of the table from the state when the fault was set.
	StaleReads bool
	// StaleHosts lists prefixes of the hosts that are served stale reads.
	StaleHosts []string
}

// Count is the number of calls served.
type Count struct {
	Commits int
	Writes  int
	Reads   int
	Objects int
}

// Row is one row as it is set from outside.
type Row struct {
	Table string
	Key   string
	Value []byte
}

// Server is the stand-in; the zero value is empty and healthy.
type Server struct {
	mu      sync.Mutex
	rows    rows
	stale   rows
	objects map[string][]byte
	version int64
	// history holds the changed rows in order; feeds reach back to version since.
	history []row
	since   int64
	changed chan struct{}
	fault   Fault
	count   Count
}

// rows holds the rows by table, part and key.
type rows map[address]row

type address struct{ table, part, key string }

// row is one row on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) address() address { return address{r.Table, r.Part, r.Key} }

// Serve answers calls until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: MaxBodyBytes, NoDefaultServerHeader: true}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	return server.Serve(listener)
}

// SetHosts replaces the host list.
func (s *Server) SetHosts(hosts []platform.Host) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	var puts []row
	for _, h := range hosts {
		value, err := json.Marshal(h)
		if err != nil {
			return err
		}
		listed[h.Name] = true
		puts = append(puts, row{Table: hostsTable, Key: h.Name, Value: value})
	}
	for at := range s.rows {
		if at.table == hostsTable && !listed[at.key] {
			puts = append(puts, row{Table: hostsTable, Key: at.key, Deleted: true})
		}
	}
	s.write(puts)
	return nil
}

// Put sets a row.
func (s *Server) Put(r Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]row{{Table: r.Table, Key: r.Key, Value: r.Value}})
}

// Remove removes a row.
func (s *Server) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]row{{Table: table, Key: key, Deleted: true}})
}

// Compact forgets the history.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.since = nil, s.version
	s.wake()
}

// SetFault replaces the fault.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.stale = rows{}
	for at, r := range s.rows {
		s.stale[at] = r
	}
}

// write applies changes under one new version.
func (s *Server) write(changes []row) {
	if s.rows == nil {
		s.rows = rows{}
	}
	s.version++
	for _, r := range changes {
		r.Ver = s.version
		if r.Deleted {
			r.Value = nil
			delete(s.rows, r.address())
		} else {
			s.rows[r.address()] = r
		}
		s.history = append(s.history, r)
	}
	s.wake()
}

// wake ends the waits of feeds.
func (s *Server) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	if strings.HasPrefix(path, "/control/") {
		s.control(c, path)
		return
	}
	if s.refuse(c) {
		return
	}
	switch {
	case path == "/v1/rows-tx":
		s.transact(c)
	case path == "/v1/rows-get":
		s.get(c)
	case path == "/v1/rows-feed":
		s.feed(c)
	case strings.HasPrefix(path, "/v1/blob-"):
		s.object(c, string(c.URI().PathOriginal()))
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) control(c *fasthttp.RequestCtx, path string) {
	var err error
	switch path {
	case FaultPath:
		var f Fault
		if err = json.Unmarshal(c.PostBody(), &f); err == nil {
			s.SetFault(f)
		}
	case SetHostsPath:
		var hosts []platform.Host
		if err = json.Unmarshal(c.PostBody(), &hosts); err == nil {
			err = s.SetHosts(hosts)
		}
	case PutPath:
		var r Row
		if err = json.Unmarshal(c.PostBody(), &r); err == nil {
			s.Put(r)
		}
	case RemovePath:
		var r Row
		if err = json.Unmarshal(c.PostBody(), &r); err == nil {
			s.Remove(r.Table, r.Key)
		}
	case CompactPath:
		s.Compact()
	case CountPath:
		s.mu.Lock()
		count := s.count
		s.mu.Unlock()
		reply(c, count)
	}
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// silence is how long a call waits while the store is silent.
const silence = time.Minute

func (s *Server) refuse(c *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault.DelayMillis > 0 {
		time.Sleep(time.Duration(fault.DelayMillis) * time.Millisecond)
	}
	switch {
	case fault.Silent:
		time.Sleep(silence)
	case fault.Busy:
		c.SetStatusCode(fasthttp.StatusTooManyRequests)
		return true
	case fault.Down || listed(c, fault.CutHosts):
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return true
	}
	return false
}

// listed reports whether the calling host, which its agent names, has one of the prefixes.
func listed(c *fasthttp.RequestCtx, prefixes []string) bool {
	_, host, _ := strings.Cut(string(c.UserAgent()), "/")
	for _, prefix := range prefixes {
		if strings.HasPrefix(host, prefix) {
			return true
		}
	}
	return false
}

func reply(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
