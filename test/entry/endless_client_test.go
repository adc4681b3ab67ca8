package entry

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

// sendSlowClient sends a request over a new connection, reads its answer at the pace, in bytes a second or 0 for nothing, and closes the
// connection after the time.
func sendSlowClient(d *daemon, route string, pace int, duration time.Duration) {
	a := newAttempt(route, 1)
	conn, err := net.Dial("tcp", d.frontAddress)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /%s/2f HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer %s\r\n"+
		"X-Pieces: 2,3\r\nX-Piece-Key: key-%s\r\nX-Model: m\r\nX-Token-Usage: 100,40\r\nX-Prompt-Prefix: %s:40\r\nContent-Length: 0\r\n\r\n", route, a.id, a.key, a.id, a.id)
	Expect(err).NotTo(HaveOccurred())
	const interval = 100 * time.Millisecond
	buffer := make([]byte, max(pace/int(time.Second/interval), 1))
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		if pace == 0 {
			continue
		}
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

var _ = Describe("an entry host", func() {
	const (
		// memoryMegabytes is the memory of the smallest host.
		memoryMegabytes = 184
		// maxMemory is the share of it that is left for the heap. maxBudgetMemory applies with a budget, of which
		// unread answers may take 0.3 of the host, and twice that until garbage is collected: the platform ends
		// a process that exceeds it.
		maxMemory       = 110 << 20
		maxBudgetMemory = memoryMegabytes << 20
		concurrent      = 32
		duration        = 2500 * time.Millisecond
		block           = 16 << 10
	)
	answerHead := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + service.AttemptMark + "\r\nX-Response-Signature: s." + service.AttemptMark + "\r\n"
	filler := strings.Repeat("x", block)

	for bound, contracts := range map[int][]string{maxMemory: nil, maxBudgetMemory: {"pressure"}} {
		for name, answer := range map[string]struct{ start, repeat string }{
			"a length":                     {"Content-Length: 1000000000000\r\n\r\n", filler},
			"chunks":                       {"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", block, filler)},
			"neither a length nor chunks":  {"\r\n", filler},
			"events":                       {"Content-Type: text/event-stream\r\n\r\n", "data: x\n\n"},
			"a large event and small ones": {"Content-Type: text/event-stream\r\n\r\n", "data: " + filler + "\n\n" + strings.Repeat("data: x\n\n", 100)},
		} {
			It(fmt.Sprintf("LOST: bounds its memory if an answer with %s doesn't end and its client is slow, contracts %v", name, contracts), func() {
				f := newFleetOf(1, memoryMegabytes, contracts...)
				d := f.daemons[0]
				for _, serviceName := range []string{"desk", "llm"} {
					f.setFault(serviceName, service.Fault{Endless: 1000, EndlessStart: answerHead + answer.start, EndlessRepeat: answer.repeat})
				}
				var clients sync.WaitGroup
				for n := range concurrent {
					clients.Add(1)
					go func() {
						defer GinkgoRecover()
						defer clients.Done()
						sendSlowClient(d, []string{"safe", "unsafe", "resumable", "once"}[n%4], []int{0, 64 << 10}[n/4%2], duration)
					}()
				}
				clients.Wait()
				Expect(d.peakMemory()).To(BeNumerically("<", bound))
				f.setFault("desk", service.Fault{})
				Eventually(func() int { return f.sendOne("safe", d).status }).WithTimeout(5 * time.Second).Should(Equal(200))
			})
		}
	}
})
