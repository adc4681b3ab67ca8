package forward

// heldHeadBytes is the memory that a target is assumed to hold for a request besides its body. Requests
// without a body count as well, since thousands of them may wait at a target.
const heldHeadBytes = 2 << 10

// heldBytes returns the memory that a target holds for the request.
func (q *requestState) heldBytes() int64 { return int64(len(q.request.Body)) + heldHeadBytes }

// fits reports whether a target has memory for the request.
func (q *requestState) fits(target string) bool {
	fits := q.f.TargetMemory.Fits(q.f.Clock.Now(), q.service, target, q.heldBytes())
	q.full = q.full || !fits
	return fits
}
