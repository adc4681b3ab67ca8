package forward

import (
	"github.com/sequoiapick/sequoiapick/internal/quarantine"
)

// fingerprint returns the fingerprint of the request.
func (q *requestState) fingerprint() quarantine.Fingerprint {
	h := q.request.Header
	return quarantine.FingerprintOf(q.account, h.Method(), h.Peek("Host"), h.RequestURI(), q.request.Body)
}
