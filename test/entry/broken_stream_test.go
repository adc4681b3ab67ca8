package entry

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

var _ = Describe("an entry host", func() {
	answer := func(status, contentType, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
			status, service.AttemptMark, service.AttemptMark, contentType, len(body), body)
	}
	for _, contracts := range [][]string{nil, {"pressure"}} {
		DescribeTable(fmt.Sprintf("ORDER: joins nothing to a stream that broke off but its rest, contracts %v", contracts),
			func(broken string) {
				// attempts bounds the requests until some streams have broken off.
				const attempts, streams = 30, 3
				f := newFleet(1, contracts...)
				engines := f.serversOf("llm")
				engines[0].SetFault(service.Fault{CutEvent: 1000})
				for _, s := range engines[1:] {
					s.SetFault(service.Fault{Broken: 1000, BrokenAnswer: broken})
				}
				cut := 0
				for n := 0; n < attempts && cut < streams; n++ {
					a := f.sendOne("resumable", f.daemons[0])
					if !strings.HasPrefix(a.answer, "id: 1\ndata: "+a.id) {
						continue // the first engine answered with what is broken, or none did
					}
					cut++
					Expect(completeStream(a.id)).To(HavePrefix(a.answer), "complete %v", a.complete)
					if a.complete {
						Expect(a.answer).To(Equal(completeStream(a.id)))
					}
				}
				Expect(cut).To(BeNumerically(">", 0), "no stream broke off")
			},
			Entry("an error", answer("500 Internal Server Error", "text/plain", "error\n\n")),
			Entry("a page with status 200", answer("200 OK", "text/html", "<html>\n\nerror\n\n</html>\n\n")),
			Entry("a page as a stream", answer("200 OK", "text/event-stream", "<html>\n\nerror\n\n</html>\n\n")),
			Entry("an empty page", answer("200 OK", "text/html", "")),
			Entry("an error in an event", answer("200 OK", "text/event-stream", "event: error\ndata: no model\n\n")),
			Entry("another stream from its start", answer("200 OK", "text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")),
			Entry("a stream behind a gap", answer("200 OK", "text/event-stream", "id: 7\ndata: a\n\nid: 8\ndata: b\n\n")),
		)
	}
})
