package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: rows in tables, transactions, range reads and
// feeds. It keeps the whole history.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
}

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type storeAnswer struct {
	Rows      []row `json:"rows"`
	Truncated bool  `json:"truncated"`
	Ver       int64 `json:"ver"`
	NowMs     int64 `json:"nowMs"`
}

// startStore serves a store on a free port of the IP.
func startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", freeAddress(ip))
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/rows-tx", s.transact)
	mux.HandleFunc("/v1/rows-get", s.get)
	mux.HandleFunc("/v1/rows-feed", s.feed)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return s, nil
}

// put writes a row as an operator or a server does.
func (s *store) put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: body}})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Deleted: true}})
}

// apply applies changes as one version. The caller holds mu.
func (s *store) apply(changes []row) {
	s.version++
	for _, r := range changes {
		r.Ver = s.version
		key := rowKey{r.Table, r.Part, r.Key}
		if r.Deleted {
			r.Value = nil
			delete(s.rows, key)
		} else {
			s.rows[key] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, a storeAnswer) {
	a.NowMs = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var current []row
	holds := true
	for _, e := range tx.Expected {
		have, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, have)
		}
		holds = holds && have.Ver == e.Ver
	}
	for _, p := range append(append([]row(nil), tx.Puts...), tx.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			s.mu.Unlock()
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if !holds {
		a := storeAnswer{Rows: current, Ver: s.version}
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, a)
		return
	}
	changes := tx.Puts
	for _, p := range tx.Remove {
		p.Deleted = true
		changes = append(changes, p)
	}
	s.apply(changes)
	a := storeAnswer{Ver: s.version}
	s.mu.Unlock()
	s.answer(w, http.StatusOK, a)
}

// maxRows is the largest number of rows of one answer.
const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	a := storeAnswer{Ver: s.version}
	for key, have := range s.rows {
		if key.table == q.Get("table") && key.part == q.Get("part") && key.key >= q.Get("from") && (q.Get("to") == "" || key.key < q.Get("to")) {
			a.Rows = append(a.Rows, have)
		}
	}
	s.mu.Unlock()
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > limit {
		a.Rows, a.Truncated = a.Rows[:limit], true
	}
	s.answer(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		a := storeAnswer{Ver: s.version}
		newest := map[rowKey]row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Ver > after; i-- {
			h := s.history[i]
			key := rowKey{h.Table, h.Part, h.Key}
			if _, seen := newest[key]; !seen && h.Table == q.Get("table") {
				newest[key] = h
			}
		}
		changed := s.changed
		s.mu.Unlock()
		for _, h := range newest {
			a.Rows = append(a.Rows, h)
		}
		sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Ver < a.Rows[j].Ver })
		if len(a.Rows) > 0 || wait <= 0 {
			s.answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}
