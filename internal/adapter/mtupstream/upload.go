package mtupstream

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// writerTimeout is how long the end of a response waits for the result of writing the request: the endpoint may have
// closed the connection before the last write has returned.
const writerTimeout = 100 * time.Millisecond

var errEndedDuringUpload = errors.New("the response ended with its connection before the request was written")

// upload is the writing of one request.
type upload struct {
	// done is closed when the writing has ended; err is set before.
	done chan struct{}
	err  error
}

func newUpload() *upload {
	return &upload{
		done: make(chan struct{}),
	}
}

// end records the result of the writing.
func (u *upload) end(err error) {
	u.err = err
	close(u.done)
}

// isComplete reports whether the whole request has been written.
func (u *upload) isComplete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// guard makes the end of a body without a length an error unless the request was written completely: a failed write
// consumes the error of the socket, and reads then see an ordinary end of the stream.
func (u *upload) guard(response *http.Response) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = uploadBody{
			ReadCloser: response.Body,
			upload:     u,
		}
	}
}

// uploadBody is a body that ends with its connection.
type uploadBody struct {
	io.ReadCloser
	upload *upload
}

// Read implements io.Reader.
func (b uploadBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	select {
	case <-b.upload.done:
	case <-time.After(writerTimeout):
	}
	if !b.upload.isComplete() {
		return n, errEndedDuringUpload
	}
	return n, err
}
