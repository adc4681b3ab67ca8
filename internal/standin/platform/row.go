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
	// maxRows is the largest number of rows in the answer to a range read.
	maxRows = 500
	// maxValueBytes is the largest size of a value.
	maxValueBytes = 65536
	// maxNameBytes is the largest length of the name of a table and of a key.
	maxNameBytes = 200
	// maxTransactionEntries is the largest number of conditions, puts and removals in one
	// transaction.
	maxTransactionEntries = 100
)

// answer is the body of an answer to a transaction, a range read or a feed. Ver is the version of the
// store. Truncated is set if a range read found more rows than its limit.
type answer struct {
	Rows      []row `json:"rows,omitempty"`
	Truncated bool  `json:"truncated"`
	Ver       int64 `json:"ver"`
}

// transact applies a transaction if its conditions hold. Otherwise it answers with status 412 and
// the current rows of the conditions.
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
	if len(tx.Expected)+len(tx.Puts)+len(tx.Remove) > maxTransactionEntries {
		c.Error("the transaction has more than 100 entries", fasthttp.StatusBadRequest)
		return
	}
	for _, r := range append(append([]row(nil), tx.Puts...), tx.Remove...) {
		if len(r.Key) > maxNameBytes || len(r.Table) > maxNameBytes || len(r.Value) > maxValueBytes {
			c.Error("a table or key is longer than 200 bytes, or a value longer than 65536 bytes", fasthttp.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	setEra(c, s.era)
	s.count.Commits++
	current, ok := s.checkConditions(tx.Expected)
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

// checkConditions returns the current rows of the conditions and whether all conditions hold: each
// names the version that its row must have, 0 for a row that must not exist. The caller holds the
// lock.
func (s *Server) checkConditions(expected []row) (current []row, ok bool) {
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

// getRows answers with the rows of a range of keys, sorted by key. The range includes from and
// excludes to; an empty to means no upper bound.
func (s *Server) getRows(c *fasthttp.RequestCtx) {
	query := c.QueryArgs()
	table, part := string(query.Peek("table")), string(query.Peek("part"))
	from, to := string(query.Peek("from")), string(query.Peek("to"))
	limit, err := strconv.Atoi(string(query.Peek("limit")))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	setEra(c, s.era)
	s.count.Reads++
	source := s.rows
	if s.fault.StaleReads || callerHasPrefix(c, s.fault.StaleHosts) {
		source = s.staleRows
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

// feedChanges answers with the changes of a table after a version. If there is none it waits for up
// to waitMs milliseconds. It answers with status 410 if the history doesn't reach back to the
// version or the store hasn't reached it.
func (s *Server) feedChanges(c *fasthttp.RequestCtx) {
	query := c.QueryArgs()
	table := string(query.Peek("table"))
	after, _ := strconv.ParseInt(string(query.Peek("after")), 10, 64)
	wait, _ := strconv.Atoi(string(query.Peek("waitMs")))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		setEra(c, s.era)
		if after < s.historyStart || after > s.version {
			s.mu.Unlock()
			c.SetStatusCode(fasthttp.StatusGone)
			return
		}
		a := answer{Rows: s.changesAfter(table, after), Ver: s.version}
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

// changesAfter returns the latest state of the rows of a table that changed after a version, sorted
// by version. The caller holds the lock.
func (s *Server) changesAfter(table string, after int64) []row {
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

// handleObject serves a call of the object store: put, get or drop. A put with the header
// "If-None-Match: *" is answered with status 412 if the object exists.
func (s *Server) handleObject(c *fasthttp.RequestCtx, path string) {
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
