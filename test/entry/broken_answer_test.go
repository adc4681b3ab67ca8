package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

// brokenAnswer returns an answer with a status line and a further header line, each with its line end, that
// would otherwise be a whole answer.
func brokenAnswer(statusLine, line string) string {
	return statusLine + "X-Attempt-Id: " + service.AttemptMark + "\r\nX-Response-Signature: s." + service.AttemptMark + "\r\n" + line +
		"Content-Type: text/event-stream\r\nContent-Length: 20\r\n\r\nid: 1\ndata: broken\n\n"
}

// soundStatusLine is the status line of a success, with its line end.
const soundStatusLine = "HTTP/1.1 200 OK\r\n"

var _ = Describe("an entry host", func() {
	DescribeTable("MIXED: passes no malformed answer on",
		func(statusLine, line string) {
			const attempts = 6
			f := newFleet(1)
			d := f.daemons[0]
			for route, serviceName := range map[string]string{"safe": "desk", "unsafe": "desk", "resumable": "llm", "once": "llm"} {
				faulty := f.serversOf(serviceName)[0]
				faulty.SetFault(service.Fault{Broken: 1000, BrokenAnswer: brokenAnswer(statusLine, line)})
				for range attempts {
					a := f.sendOne(route, d)
					Expect(a.answer).NotTo(ContainSubstring("broken"), "%s: status %d", route, a.status)
					Expect(a.status).To(BeElementOf(200, 502, 504), "%s: the status promises that the request hasn't run", route)
					if a.status == 200 {
						Expect(a.complete).To(BeTrue(), route)
					}
				}
				f.setFault(serviceName, service.Fault{Broken: 1000, BrokenAnswer: brokenAnswer(statusLine, line)})
				a := f.sendOne(route, d)
				Expect(a.status).To(BeElementOf(502, 504), "%s: all servers send malformed answers", route)
				f.setFault(serviceName, service.Fault{})
				Eventually(func() int { return f.sendOne(route, d).status }).WithTimeout(5*time.Second).Should(Equal(200), route)
			}
		},
		Entry("with status 000", "HTTP/1.1 000 OK\r\n", ""),
		Entry("with a blank in the name of a field", soundStatusLine, "X A: b\r\n"),
		Entry("with a blank before a colon", soundStatusLine, "X-A : b\r\n"),
		Entry("with a control byte in the name of a field", soundStatusLine, "X-\x01A: b\r\n"),
		Entry("with a blank in the name of the length", soundStatusLine, "Content-Length : 5\r\n"),
		Entry("with a folded line", soundStatusLine, "X-A: b\r\n c\r\n"),
	)
})
