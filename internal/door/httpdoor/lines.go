package httpdoor

import (
	"bytes"
	"sync/atomic"
)

// maxHeaderLines bounds the lines of a request's headers. A field takes some hundred bytes once it is read, so that
// short ones take many times their size. Callers send a few.
const maxHeaderLines = 128

// headerLines counts the lines of the headers that a connection receives. The server reads a connection from one
// goroutine at a time.
type headerLines struct {
	// lines and ahead are the lines of the headers, and the lines that were read behind their end.
	lines, ahead atomic.Int32
	// isPastEnd is set behind the end of the headers, isPartial within a line.
	isPastEnd, isPartial atomic.Bool
}

// count takes the bytes that were read, and returns false once the headers have too many lines.
func (h *headerLines) count(p []byte) bool {
	for len(p) > 0 {
		if h.isPastEnd.Load() {
			h.ahead.Add(int32(bytes.Count(p, []byte{'\n'})))
			return true
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.isPartial.Store(h.isPartial.Load() || len(bytes.TrimRight(p, "\r")) > 0)
			return true
		}
		isEmpty := !h.isPartial.Load() && len(bytes.TrimRight(p[:end], "\r")) == 0
		h.isPartial.Store(false)
		p = p[end+1:]
		switch {
		case isEmpty && h.lines.Load() > 0:
			h.isPastEnd.Store(true)
		case h.lines.Add(1) > maxHeaderLines:
			return false
		}
	}
	return true
}

// end records that the server has read the headers. Their end may have arrived with the request before.
func (h *headerLines) end() { h.isPastEnd.Store(true) }

// areAhead reports whether the caller has sent more lines behind the headers than its body and one more request have.
func (h *headerLines) areAhead(body []byte) bool {
	ahead := int(h.ahead.Load())
	return ahead > maxHeaderLines && ahead > maxHeaderLines+bytes.Count(body, []byte{'\n'})
}

// reset prepares for the next request.
func (h *headerLines) reset() {
	h.lines.Store(0)
	h.ahead.Store(0)
	h.isPastEnd.Store(false)
	h.isPartial.Store(false)
}
