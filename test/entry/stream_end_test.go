package entry

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

var _ = Describe("an entry host", func() {
	It("ORDER: takes a stream that ends with its connection inside an event as broken off", func() {
		const attempts = 12
		f := newFleet(1)
		faulty := f.serversOf("llm")[0]
		faulty.SetFault(service.Fault{CutPlain: attempts})
		for range attempts {
			a := f.sendOne("resumable", f.daemons[0])
			Expect(a.complete).To(BeTrue(), "status %d: %v", a.status, a.err)
			Expect(a.answer).To(Equal(completeStream(a.id)))
		}
		Expect(faulty.Journal()).NotTo(BeEmpty(), "no request met the fault")
		f.setFault("llm", service.Fault{CutPlain: 1})
		a := f.sendOne("once", f.daemons[0])
		Expect(a.complete).To(BeFalse(), "a stream that was broken off looks complete: %q", a.answer)
	})
})
