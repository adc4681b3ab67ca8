package forward

import (
	"context"
	"io"

	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/memory"
	"github.com/sequoiapick/sequoiapick/platform"
)

// minBufferedBytes is the size of the first buffer for a plain answer of unknown length. It is doubled
// whenever it is full.
const minBufferedBytes = 8 << 10

// readBuffered reads an answer up to maxBufferedBytes, or as far as the budget of memory allows, and reports
// whether that is all of it.
func (q *requestState) readBuffered(answer *exchange.Answer) (body []byte, whole bool, err error) {
	holder := q.request.Memory
	if holder == nil {
		body, err = io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes))
		return body, len(body) < maxBufferedBytes, err
	}
	size := minBufferedBytes
	if answer.Length > 0 {
		size = answer.Length
	}
	for {
		if len(body) == cap(body) {
			size = min(max(size, 2*cap(body)), maxBufferedBytes)
			if len(body) == maxBufferedBytes || !holder.TryAcquire(memory.Answer, int64(size-cap(body))) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := answer.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, len(body) < maxBufferedBytes, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}

// relayLarge forwards an answer that exceeds the buffer as it arrives; prefix is the part
// that was read already.
func (q *requestState) relayLarge(ctx context.Context, answer *exchange.Answer, prefix []byte, conn *exchange.Conn) error {
	length := int64(answer.Length)
	if answer.Length < 0 {
		length = -1
	}
	if err := q.w.Start(answer.Head.Status, platform.AppendAnswerFields(nil, &answer.Header), length); err != nil {
		q.f.Pool.Discard(conn)
		return err
	}
	if q.request.Memory != nil {
		return q.relayAhead(ctx, answer, prefix, conn)
	}
	_, err := q.w.Write(prefix)
	if err == nil {
		_, err = io.Copy(q.w, answer.Body)
	}
	if err != nil || ctx.Err() != nil {
		q.w.Abort()
		q.f.Pool.Discard(conn)
		return err
	}
	q.f.Pool.Release(conn)
	return q.w.End()
}

// copyBytes is the size of the buffer through which a large answer is read. It is part of
// ingress.RequestBytes.
const copyBytes = 4 << 10

// relayAhead forwards the body of an answer whose head was written, and reads it ahead of the client. What
// was read of a truncated answer is still forwarded.
func (q *requestState) relayAhead(ctx context.Context, answer *exchange.Answer, prefix []byte, conn *exchange.Conn) error {
	ahead := q.startReadAhead(ctx)
	ahead.adopt(prefix, int64(cap(prefix)), memory.Answer)
	_, err := io.CopyBuffer(ahead, answer.Body, make([]byte, copyBytes))
	if err != nil || ctx.Err() != nil {
		q.f.Pool.Discard(conn)
	} else {
		q.f.Pool.Release(conn)
	}
	if closeErr := ahead.close(); closeErr != nil {
		q.logSlowClient(ctx, ahead, closeErr)
		err = closeErr
	}
	if err != nil || ctx.Err() != nil {
		q.w.Abort()
		return err
	}
	return q.w.End()
}
