package mtingress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
)

// buffers hold the heads and the short bodies of answers, so that each is written by one system call.
var buffers = sync.Pool{
	New: func() any {
		return new(bytes.Buffer)
	},
}

// bufferLimit is the size from which on a buffer is not kept.
const bufferLimit = 64 << 10

// writeAnswer writes an answer and reports whether all of it was written.
func writeAnswer(to net.Conn, method string, answer *Answer) bool {
	buffer := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	defer func() {
		if buffer.Cap() <= bufferLimit {
			buffers.Put(buffer)
		}
	}()
	writeHead(buffer, method, answer)
	bodyless := method == http.MethodHead || !allowsBody(answer.Status)
	if bodyless {
		closeRest(answer)
		_, err := to.Write(buffer.Bytes())
		return err == nil
	}
	if answer.Rest == nil {
		parts := net.Buffers{buffer.Bytes(), answer.Body}
		_, err := parts.WriteTo(to)
		return err == nil
	}
	defer closeRest(answer)
	if _, err := to.Write(buffer.Bytes()); err != nil {
		return false
	}
	return writeRest(to, answer)
}

func writeHead(buffer *bytes.Buffer, method string, answer *Answer) {
	buffer.WriteString("HTTP/1.1 ")
	buffer.WriteString(strconv.Itoa(answer.Status))
	buffer.WriteByte(' ')
	buffer.WriteString(http.StatusText(answer.Status))
	buffer.WriteString("\r\n")
	switch {
	case method == http.MethodHead || !allowsBody(answer.Status):
		// The length that the endpoint stated, if any, stands among the headers.
	case answer.Length < 0:
		answer.Header.Set("Transfer-Encoding", "chunked")
		answer.Header.Del("Content-Length")
	default:
		answer.Header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	// Writing to a buffer can't fail.
	_ = answer.Header.Write(buffer)
	buffer.WriteString("\r\n")
}

// allowsBody reports whether an answer with a status has a body.
func allowsBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func writeRest(to net.Conn, answer *Answer) bool {
	target := io.Writer(to)
	var chunks io.WriteCloser
	if answer.Length < 0 {
		chunks = httputil.NewChunkedWriter(to)
		target = chunks
	}
	if _, err := target.Write(answer.Body); err != nil {
		return false
	}
	if _, err := io.Copy(target, answer.Rest); err != nil {
		return false
	}
	if chunks == nil {
		return true
	}
	if chunks.Close() != nil {
		return false
	}
	_, err := io.WriteString(to, "\r\n")
	return err == nil
}

func closeRest(answer *Answer) {
	if answer.Rest != nil {
		_ = answer.Rest.Close()
	}
}
