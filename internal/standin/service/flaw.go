package service

import (
	"hash/fnv"
	"strings"
	"time"
)

// Flaw is what is wrong with a version: a share of its answers fail with status 500, or take longer. The
// zero value is a sound version.
type Flaw struct {
	// Share is the share of the requests that are flawed. The ID of the attempt decides, so that a
	// repeated request is flawed at one server and may be sound at another one.
	Share float64
	// Slow, if above 0, multiplies the work of flawed requests, which don't fail then.
	Slow int
	// After is the time since the start of the server before which no request is flawed.
	After time.Duration
	// Load is the number of requests in progress, this one included, below which none is flawed.
	Load int
	// Prefix is the start of the paths of the requests that are flawed; empty means all paths.
	Prefix string
}

// applies reports whether a request is flawed.
func (f Flaw) applies(server, attempt, path string, age time.Duration, running int) bool {
	if f.Share == 0 || age < f.After || running < f.Load || !strings.HasPrefix(path, f.Prefix) {
		return false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(server + "/" + attempt)) // it never fails
	return float64(h.Sum32()%1000) < 1000*f.Share
}

// work returns the time of a request.
func (p Profile) work(flawed bool) time.Duration {
	if flawed && p.Flaw.Slow > 0 {
		return p.Work * time.Duration(p.Flaw.Slow)
	}
	return p.Work
}
