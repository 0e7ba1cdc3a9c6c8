// An endpoint in trouble may send bytes without end: as a status line, header fields, interim answers, an answer that belongs to
// nobody, or a body. Each of these has a bound, so that an instance with little memory outlives it.

package mtupstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
)

const (
	// headMost bounds the heads that are read for one request, interim answers and skipped ones included, in bytes.
	headMost = 64 << 10
	// skipMost bounds the bodies of skipped answers for one request, in bytes.
	skipMost = 256 << 10
	// lookMost bounds the body of an answer to a look, in bytes.
	lookMost = 16 << 10
	// bodyMost bounds the body of an answer, in bytes: more can't cross a link of 1 Gbit/s in the longest time that a request has.
	bodyMost = 4 << 30
	// bodyShort is the size of a body that is always kept whole, in bytes; longer ones are kept while all together are below
	// keptMost, a sixth of the memory of the smallest instance, and otherwise passed on as they come.
	bodyShort = 64 << 10
	keptMost  = 32 << 20
)

var (
	errHeadTooLong = errors.New("endpoint's heads exceed 64 KiB")
	errSkipTooLong = errors.New("endpoint's answers to earlier requests exceed 256 KiB")
	errBodyTooLong = errors.New("endpoint's body exceeds 4 GiB")
)

// boundedReader reads from a socket up to a number of bytes.
type boundedReader struct {
	socket net.Conn
	// left is the number of bytes that may still be read, and over the error after that.
	left int64
	over error
}

func (r *boundedReader) allow(most int64, over error) {
	r.left, r.over = most, over
}

func (r *boundedReader) Read(to []byte) (int, error) {
	if r.left <= 0 {
		return 0, r.over
	}
	n, err := r.socket.Read(to[:min(int64(len(to)), r.left)])
	r.left -= int64(n)
	return n, err
}

// keptBytes is the number of bytes of long bodies that are held in memory.
type keptBytes struct {
	count atomic.Int64
}

func (k *keptBytes) take(size int64) bool {
	if k.count.Add(size) > keptMost {
		k.count.Add(-size)
		return false
	}
	return true
}

func (k *keptBytes) giveBack(size int64) {
	k.count.Add(-size)
}

// release gives bytes back once the collector has freed the body that they were taken for.
func (k *keptBytes) release(body []byte, held int64) {
	if held > 0 {
		runtime.AddCleanup(&body[0], k.giveBack, held)
	}
}

// readBody reads a body up to a size, and reports whether it ended by then. It stops sooner when too many bytes are held already.
func (k *keptBytes) readBody(response *http.Response, most int64) (body []byte, whole bool, err error) {
	held := int64(0)
	buffer := &bytes.Buffer{}
	short := min(bodyShort, most)
	if size := response.ContentLength; size > 0 {
		buffer.Grow(int(min(size, short)) + bytes.MinRead)
	}
	for limit := short; ; limit = min(2*limit, most) {
		n, err := io.Copy(buffer, io.LimitReader(response.Body, limit-int64(buffer.Len())))
		switch {
		case err != nil:
			k.giveBack(held)
			return nil, false, err
		case n == 0 || int64(buffer.Len()) < limit:
			k.release(buffer.Bytes(), held)
			return buffer.Bytes(), true, nil
		case limit == most || !k.take(limit):
			k.release(buffer.Bytes(), held)
			return buffer.Bytes(), false, nil
		}
		held += limit
	}
}
