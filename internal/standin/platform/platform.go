// Package platform is an in-memory stand-in for the store of the platform that the system runs on,
// for tests and demonstrations. Over the published HTTP protocol it serves rows in tables, with
// conditional transactions, range reads and change feeds, and objects, which are byte strings with
// names. Faults can be injected by method calls and over a control interface under /control/.
//
// The store has one version, which each transaction and each change over the control interface
// increments. Restore sets it back to an earlier state.
//
// # Usage
//
//	server := &platform.Server{}
//	err := server.Serve(ctx, listener)
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/platform"
)

// Paths of the control interface. Bodies are in JSON. FaultPath takes a Fault, SetHostsPath a list of
// platform.Host, PutPath and RemovePath a Row. CompactPath, SavePath, which makes a copy of the state, and
// RestorePath, which restores it, take no body. CountPath answers with a
// Count. A body that isn't valid is answered with status 400.
const (
	FaultPath    = "/control/fault"
	SetHostsPath = "/control/hosts"
	CountPath    = "/control/count"
	PutPath      = "/control/put"
	RemovePath   = "/control/remove"
	CompactPath  = "/control/compact"
	SavePath     = "/control/save"
	RestorePath  = "/control/restore"
)

// MaxBodyBytes is the largest body of a call that Server accepts.
const MaxBodyBytes = 64 << 20

// hostsTable is the table of the host list.
const hostsTable = "hosts"

// Fault determines how the stand-in misbehaves until another Fault is set.
type Fault struct {
	// Down answers every call with status 503.
	Down bool
	// Silent delays every call by a minute, which is longer than callers wait; connections stay
	// open.
	Silent bool
	// Busy answers every call with status 429.
	Busy bool
	// DelayMillis delays every call by this time in milliseconds.
	DelayMillis int
	// LoseAnswers is the number of next transactions that are applied but whose connection is
	// closed without an answer.
	LoseAnswers int
	// Endless answers calls with a body without end, until the caller closes the connection.
	Endless bool
	// CutHosts holds prefixes of the names of hosts whose calls are answered with status 503.
	CutHosts []string
	// StaleReads serves all range reads from the rows as they were when the fault was set. The
	// answers still state the current version of the store.
	StaleReads bool
	// StaleHosts holds prefixes of the names of hosts that get stale reads as with StaleReads.
	StaleHosts []string
}

// Count counts the calls that were served: Commits are the transactions, including those whose
// conditions didn't hold, Writes the rows that transactions wrote or removed, Reads the range reads
// and Objects the calls of the object store.
type Count struct {
	Commits int
	Writes  int
	Reads   int
	Objects int
}

// Row is a row that is written or removed over the control interface. A removal needs no Value.
type Row struct {
	Table string
	Key   string
	Value []byte
}

// Server is the stand-in. The zero value has no rows, objects or faults. Its methods can be called
// concurrently.
type Server struct {
	// OnWrite, if not nil, is called with each row that is written, before the caller has the answer. It
	// must not call the server.
	OnWrite func(Row)

	mu   sync.Mutex
	rows rows
	// staleRows is the copy of rows when the fault was set.
	staleRows rows
	objects   map[string][]byte
	// era counts the restores; versions of different eras can't be compared.
	era int64
	// version is the version of the store, 0 before the first change.
	version int64
	// history holds the changes after version historyStart, the oldest first.
	history      []row
	historyStart int64
	// changed is closed at the next change; nil if no feed waits.
	changed chan struct{}
	fault   Fault
	count   Count
	// saved is the copy of the last call of SavePath.
	saved Snapshot
}

// rows holds the latest version of each row.
type rows map[address]row

// address identifies a row. part is a group of rows of the table; the system uses only the empty one.
type address struct{ table, part, key string }

// row is a row on the wire. Ver is the version of its last change. In the condition of a transaction,
// it is the version that the row must have.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) address() address { return address{r.Table, r.Part, r.Key} }

// Serve serves calls until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: MaxBodyBytes, NoDefaultServerHeader: true}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	return server.Serve(listener)
}

// Start serves calls on a free port of the loopback address until stop is called.
func (s *Server) Start() (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, listener) }()
	return listener.Addr().String(), func() {
		cancel()
		<-ended
	}, nil
}

// SetHosts replaces the host list, a table with a row for each host. The error is that of encoding a
// host.
func (s *Server) SetHosts(hosts []platform.Host) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	var changes []row
	for _, h := range hosts {
		value, err := json.Marshal(h)
		if err != nil {
			return err
		}
		listed[h.Name] = true
		changes = append(changes, row{Table: hostsTable, Key: h.Name, Value: value})
	}
	for at := range s.rows {
		if at.table == hostsTable && !listed[at.key] {
			changes = append(changes, row{Table: hostsTable, Key: at.key, Deleted: true})
		}
	}
	s.write(changes)
	return nil
}

// Put writes a row without a condition.
func (s *Server) Put(r Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]row{{Table: r.Table, Key: r.Key, Value: r.Value}})
}

// Value returns the value of a row, nil if there is no row.
func (s *Server) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[address{table: table, key: key}].Value
}

// Remove removes a row without a condition.
func (s *Server) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]row{{Table: table, Key: key, Deleted: true}})
}

// Compact drops the history of changes, so that feeds of changes after an older version are answered
// with status 410.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.version
	s.wakeFeeds()
}

// SetFault replaces the fault and copies the rows for stale reads.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.staleRows = rows{}
	for at, r := range s.rows {
		s.staleRows[at] = r
	}
}

// write applies changes as one new version. The caller holds the lock.
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
			if s.OnWrite != nil {
				s.OnWrite(Row{Table: r.Table, Key: r.Key, Value: r.Value})
			}
		}
		s.history = append(s.history, r)
	}
	s.wakeFeeds()
}

// wakeFeeds wakes the feeds that wait for a change. The caller holds the lock.
func (s *Server) wakeFeeds() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	if strings.HasPrefix(path, "/control/") {
		s.handleControl(c, path)
		return
	}
	s.mu.Lock()
	setEra(c, s.era)
	s.mu.Unlock()
	if s.injectFault(c) {
		return
	}
	switch {
	case path == "/v1/rows-tx":
		s.transact(c)
	case path == "/v1/rows-get":
		s.getRows(c)
	case path == "/v1/rows-feed":
		s.feedChanges(c)
	case strings.HasPrefix(path, "/v1/blob-"):
		s.handleObject(c, string(c.URI().PathOriginal()))
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handleControl serves the control interface.
func (s *Server) handleControl(c *fasthttp.RequestCtx, path string) {
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
	case SavePath:
		saved := s.Snapshot()
		s.mu.Lock()
		s.saved = saved
		s.mu.Unlock()
	case RestorePath:
		s.mu.Lock()
		saved := s.saved
		s.mu.Unlock()
		s.Restore(saved)
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

// silentDelay is the delay of a call while Fault.Silent is set.
const silentDelay = time.Minute

// injectFault delays the call, or answers it with an error and returns true, as the fault asks.
func (s *Server) injectFault(c *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault.DelayMillis > 0 {
		time.Sleep(time.Duration(fault.DelayMillis) * time.Millisecond)
	}
	switch {
	case fault.Endless:
		c.HijackSetNoResponse(true)
		c.Hijack(sendEndless)
		return true
	case fault.Silent:
		time.Sleep(silentDelay)
	case fault.Busy:
		c.SetStatusCode(fasthttp.StatusTooManyRequests)
		return true
	case fault.Down || callerHasPrefix(c, fault.CutHosts):
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return true
	}
	return false
}

// sendEndless sends the start of an answer, then blanks until the connection is closed.
func sendEndless(conn net.Conn) {
	blanks := bytes.Repeat([]byte(" "), 64<<10)
	for _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{"); err == nil; {
		_, err = conn.Write(blanks)
	}
}

// callerHasPrefix reports whether the name of the calling host has one of the prefixes. The name
// follows the slash in the User-Agent header.
func callerHasPrefix(c *fasthttp.RequestCtx, prefixes []string) bool {
	_, host, _ := strings.Cut(string(c.UserAgent()), "/")
	for _, prefix := range prefixes {
		if strings.HasPrefix(host, prefix) {
			return true
		}
	}
	return false
}

// reply answers a call with a value in JSON.
func reply(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
