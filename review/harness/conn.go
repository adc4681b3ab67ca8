package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
)

// answer is one answer of a server, written by the stand-in itself so that it controls each byte.
type answer struct {
	status int
	header map[string]string
	body   []byte
	// stream, if set, writes the body after the head: in chunks, or with neither length nor chunks if
	// unframed is set. It returns false to break the connection off.
	stream   func(write func([]byte) error) bool
	unframed bool
	// repeat sends the same answer once more when the next request of the connection arrives, before
	// its own answer.
	repeat bool
}

// encode returns the head, and the body unless the answer streams it.
func (a answer) encode() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	var names []string
	for name := range a.header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", name, a.header[name])
	}
	switch {
	case a.stream == nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	case a.unframed:
		b.WriteString("Connection: close\r\n\r\n")
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	}
	return []byte(b.String())
}

// listenerSet accepts connections and serves the requests of each one after the other.
type listenerSet struct {
	address string
	handle  func(ctx context.Context, r *http.Request, body []byte) answer

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// start listens on the address.
func (l *listenerSet) start() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener, l.conns = listener, map[net.Conn]bool{}
	l.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			open := l.listener == listener
			if open {
				l.conns[c] = true
			}
			l.mu.Unlock()
			if !open {
				_ = c.Close()
				return
			}
			go l.serve(c)
		}
	}()
	return nil
}

// stop closes the listener and all connections, as the end of a process does.
func (l *listenerSet) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return
	}
	_ = l.listener.Close()
	l.listener = nil
	for c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

func (l *listenerSet) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(c, 64<<10)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			if _, err := reader.Peek(1); err != nil {
				cancel() // the peer has closed the connection
			}
		}()
		a := l.handle(ctx, r, body)
		ok := l.write(c, a)
		if ok && a.repeat {
			late = a.encode()
		}
		if !ok || a.unframed {
			cancel()
			_ = c.Close()
			<-closed
			return
		}
		<-closed // the next request has arrived, or the connection is closed
		cancel()
	}
}

// write writes an answer and reports whether it is complete.
func (l *listenerSet) write(c net.Conn, a answer) bool {
	if _, err := c.Write(a.encode()); err != nil {
		return false
	}
	if a.stream == nil {
		return true
	}
	write := func(p []byte) error {
		if a.unframed {
			_, err := c.Write(p)
			return err
		}
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(p), p)
		return err
	}
	if !a.stream(write) {
		return false
	}
	if !a.unframed {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	return true
}
