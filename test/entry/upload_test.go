package entry

import (
	"bytes"
	"context"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

var _ = Describe("an entry host", func() {
	It("MIXED: takes no part of an answer for all of it if the upload is cut off", func() {
		const (
			runs     = 400
			minBytes = 40 << 10
			maxBytes = 400 << 10
		)
		f := newFleet(1)
		f.setFault("desk", service.Fault{CutUpload: 10 * runs})
		random := rand.New(rand.NewPCG(41, 0))
		parts := 0
		for range runs {
			a := newAttempt("unsafe", 1)
			a.body = bytes.Repeat([]byte("x"), minBytes+random.IntN(maxBytes-minBytes))
			a.send(context.Background(), f.daemons[0])
			Expect(a.status).To(BeElementOf(200, 502, 504), "the status promises that the request hasn't run")
			if a.status == 200 && a.complete {
				Expect(a.answer).To(Equal(service.Text(a.id)[:service.PartBytes]))
				parts++
			}
		}
		Expect(parts).To(BeZero(), "parts that look complete, of %d", runs)
	})
})
