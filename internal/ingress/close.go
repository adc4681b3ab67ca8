package ingress

import "context"

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return int(s.openCount.Load()) }

// Drain closes every connection after its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request is being read or handled, and from then on
// each other one after its answer.
func (s *Server) CloseIdle() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Wait waits until no request is being read or handled.
func (s *Server) Wait() { s.inFlight.Wait() }

// Cancel ends the contexts of the requests that are handled, with the cause, so that those without an
// answer get one before their connections are closed.
func (s *Server) Cancel(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancelRequest(cause)
	}
}

// CloseAll closes every connection.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.net.Close()
	}
}

func (c *conn) setCancel(cancel context.CancelCauseFunc) {
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
}

func (c *conn) cancelRequest(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel(cause)
	}
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.net.Close()
	}
}
