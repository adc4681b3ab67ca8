// Package platform is a small stand-in of the platform for tests and demonstrations:
// a table, an object store, a weight store and a host list, all in memory, whose
// faults can be set from outside.
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
	"sort"
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
)

// MaxBodyBytes bounds one call.
const MaxBodyBytes = 64 << 20

// Fault is what goes wrong until another fault is set.
type Fault struct {
	// Down refuses every call.
	Down bool
	// DelayMillis holds every call back.
	DelayMillis int
	// LoseAnswers is the number of commits that are applied without an answer.
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

// Server is the stand-in; the zero value is empty and healthy.
type Server struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	stale    map[string]platform.Row
	objects  map[string][]byte
	hosts    []platform.Host
	revision uint64
	fault    Fault
	count    Count
}

// Serve answers calls until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: MaxBodyBytes, NoDefaultServerHeader: true}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	return server.Serve(listener)
}

// SetHosts replaces the host list.
func (s *Server) SetHosts(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
}

// SetFault replaces the fault.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.stale = map[string]platform.Row{}
	for k, r := range s.rows {
		s.stale[k] = r
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
	case path == platform.CommitPath:
		s.commit(c)
	case path == platform.GetPath:
		s.get(c)
	case path == platform.ScanPath:
		s.scan(c)
	case path == platform.HostsPath:
		s.listHosts(c)
	case strings.HasPrefix(path, platform.ObjectPath):
		s.object(c, strings.TrimPrefix(path, platform.ObjectPath))
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) listHosts(c *fasthttp.RequestCtx) {
	centre := string(c.QueryArgs().Peek(platform.DataCentreParameter))
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []platform.Host
	for _, h := range s.hosts {
		if h.DataCentre == centre {
			hosts = append(hosts, h)
		}
	}
	reply(c, platform.HostsReply{Hosts: hosts})
}

func (s *Server) control(c *fasthttp.RequestCtx, path string) {
	switch path {
	case FaultPath:
		var f Fault
		_ = json.Unmarshal(c.PostBody(), &f)
		s.SetFault(f)
	case SetHostsPath:
		var hosts []platform.Host
		_ = json.Unmarshal(c.PostBody(), &hosts)
		s.SetHosts(hosts)
	case CountPath:
		s.mu.Lock()
		count := s.count
		s.mu.Unlock()
		reply(c, count)
	}
}

func (s *Server) refuse(c *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault.DelayMillis > 0 {
		time.Sleep(time.Duration(fault.DelayMillis) * time.Millisecond)
	}
	down := fault.Down || listed(c, fault.CutHosts)
	if down {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	return down
}

func (s *Server) commit(c *fasthttp.RequestCtx) {
	var tx platform.Transaction
	if err := json.Unmarshal(c.PostBody(), &tx); err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	revision, ok := s.apply(tx)
	lose := ok && s.fault.LoseAnswers > 0
	if lose {
		s.fault.LoseAnswers--
	}
	s.mu.Unlock()
	switch {
	case lose:
		_ = c.Conn().Close()
	case !ok:
		c.SetStatusCode(fasthttp.StatusConflict)
	default:
		reply(c, platform.CommitReply{Revision: revision})
	}
}

func (s *Server) apply(tx platform.Transaction) (uint64, bool) {
	s.count.Commits++
	for _, cond := range tx.Conditions {
		if s.rows[cond.Key].Revision != cond.Revision {
			return 0, false
		}
	}
	if s.rows == nil {
		s.rows = map[string]platform.Row{}
	}
	s.revision++
	for _, w := range tx.Writes {
		s.count.Writes++
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = platform.Row{Key: w.Key, Revision: s.revision, Value: w.Value}
	}
	return s.revision, true
}

// readable returns the table as the caller sees it.
func (s *Server) readable(c *fasthttp.RequestCtx) map[string]platform.Row {
	if s.fault.StaleReads || listed(c, s.fault.StaleHosts) {
		return s.stale
	}
	return s.rows
}

// listed reports whether the caller's host has one of the prefixes.
func listed(c *fasthttp.RequestCtx, prefixes []string) bool {
	host := string(c.Request.Header.Peek(platform.HostHeader))
	for _, prefix := range prefixes {
		if strings.HasPrefix(host, prefix) {
			return true
		}
	}
	return false
}

func (s *Server) get(c *fasthttp.RequestCtx) {
	var r platform.GetRequest
	_ = json.Unmarshal(c.PostBody(), &r)
	s.mu.Lock()
	s.count.Reads++
	row, ok := s.readable(c)[r.Key]
	s.mu.Unlock()
	reply(c, platform.GetReply{Row: row, Found: ok})
}

func (s *Server) scan(c *fasthttp.RequestCtx) {
	var r platform.ScanRequest
	_ = json.Unmarshal(c.PostBody(), &r)
	s.mu.Lock()
	s.count.Reads++
	var rows []platform.Row
	for k, row := range s.readable(c) {
		if strings.HasPrefix(k, r.Prefix) && k > r.After {
			rows = append(rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > r.Limit {
		rows = rows[:r.Limit]
	}
	reply(c, platform.ScanReply{Rows: rows})
}

func (s *Server) object(c *fasthttp.RequestCtx, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count.Objects++
	if s.objects == nil {
		s.objects = map[string][]byte{}
	}
	if c.IsPut() {
		s.objects[key] = append([]byte(nil), c.PostBody()...)
		return
	}
	value, ok := s.objects[key]
	if !ok {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	c.SetBody(value)
}

func reply(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetBody(body)
}
