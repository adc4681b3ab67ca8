package platform

import (
	"encoding/json"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxRows is the largest number of rows in one answer.
	maxRows = 500
	// maxRowBytes is the largest value of a row.
	maxRowBytes = 65536
	// maxNameBytes is the longest table, part and key.
	maxNameBytes = 200
	// maxEntries is the largest number of entries in one transaction.
	maxEntries = 100
)

// answer is the body of answers about rows.
type answer struct {
	Rows      []row `json:"rows,omitempty"`
	Truncated bool  `json:"truncated"`
	Ver       int64 `json:"ver"`
}

// transact applies a transaction if its conditions hold.
func (s *Server) transact(c *fasthttp.RequestCtx) {
	var tx struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.Unmarshal(c.PostBody(), &tx); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if len(tx.Expected)+len(tx.Puts)+len(tx.Remove) > maxEntries {
		c.Error("too many entries", fasthttp.StatusBadRequest)
		return
	}
	for _, r := range append(append([]row(nil), tx.Puts...), tx.Remove...) {
		if len(r.Key) > maxNameBytes || len(r.Table) > maxNameBytes || len(r.Value) > maxRowBytes {
			c.Error("a row is too large", fasthttp.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	s.count.Commits++
	current, ok := s.expect(tx.Expected)
	if !ok {
		a := answer{Rows: current, Ver: s.version}
		s.mu.Unlock()
		reply(c, a)
		c.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	s.count.Writes += len(tx.Puts) + len(tx.Remove)
	changes := tx.Puts
	for _, r := range tx.Remove {
		r.Deleted = true
		changes = append(changes, r)
	}
	s.write(changes)
	a := answer{Ver: s.version}
	lose := s.fault.LoseAnswers > 0
	if lose {
		s.fault.LoseAnswers--
	}
	s.mu.Unlock()
	if lose {
		_ = c.Conn().Close()
		return
	}
	reply(c, a)
}

// expect returns the rows under conditions and whether all hold.
func (s *Server) expect(expected []row) (current []row, ok bool) {
	ok = true
	for _, e := range expected {
		r, found := s.rows[e.address()]
		if found {
			current = append(current, r)
		}
		ok = ok && r.Ver == e.Ver
	}
	return current, ok
}

// get returns a range of rows.
func (s *Server) get(c *fasthttp.RequestCtx) {
	query := c.QueryArgs()
	table, part := string(query.Peek("table")), string(query.Peek("part"))
	from, to := string(query.Peek("from")), string(query.Peek("to"))
	limit, err := strconv.Atoi(string(query.Peek("limit")))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	s.count.Reads++
	source := s.rows
	if s.fault.StaleReads || listed(c, s.fault.StaleHosts) {
		source = s.stale
	}
	a := answer{Ver: s.version}
	for at, r := range source {
		if at.table == table && at.part == part && at.key >= from && (to == "" || at.key < to) {
			a.Rows = append(a.Rows, r)
		}
	}
	s.mu.Unlock()
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > limit {
		a.Rows, a.Truncated = a.Rows[:limit], true
	}
	reply(c, a)
}

// feed returns the changes after a version, and waits for the first one.
func (s *Server) feed(c *fasthttp.RequestCtx) {
	query := c.QueryArgs()
	table := string(query.Peek("table"))
	after, _ := strconv.ParseInt(string(query.Peek("after")), 10, 64)
	wait, _ := strconv.Atoi(string(query.Peek("waitMs")))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		if after < s.since {
			s.mu.Unlock()
			c.SetStatusCode(fasthttp.StatusGone)
			return
		}
		a := answer{Rows: s.changes(table, after), Ver: s.version}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 || wait == 0 {
			reply(c, a)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		}
	}
}

// changes returns the newest state of the rows of a table that changed after a version.
func (s *Server) changes(table string, after int64) []row {
	newest := map[address]row{}
	for _, r := range s.history {
		if r.Table == table && r.Ver > after {
			newest[r.address()] = r
		}
	}
	var list []row
	for _, r := range newest {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Ver < list[j].Ver })
	return list
}

// object answers a call of the object store.
func (s *Server) object(c *fasthttp.RequestCtx, path string) {
	verb, name, _ := strings.Cut(strings.TrimPrefix(path, "/v1/blob-"), "/")
	name, err := url.PathUnescape(name)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count.Objects++
	if s.objects == nil {
		s.objects = map[string][]byte{}
	}
	value, found := s.objects[name]
	switch {
	case verb == "put" && found && string(c.Request.Header.Peek("If-None-Match")) == "*":
		c.SetStatusCode(fasthttp.StatusPreconditionFailed)
	case verb == "put":
		s.objects[name] = append([]byte(nil), c.PostBody()...)
	case verb == "drop":
		delete(s.objects, name)
	case verb == "get" && found:
		c.SetBody(value)
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}
