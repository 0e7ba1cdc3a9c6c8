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

// bufferPool pools the buffers for response headers. A header and a body that is not streamed are written by one system
// call.
var bufferPool = sync.Pool{
	New: func() any {
		return new(bytes.Buffer)
	},
}

// maxPooledBufferBytes bounds the capacity of a buffer that returns to the pool.
const maxPooledBufferBytes = 64 << 10

// writeResponse writes a response and reports whether it was written completely.
func writeResponse(conn net.Conn, method string, response *Response) bool {
	buffer := bufferPool.Get().(*bytes.Buffer)
	buffer.Reset()
	defer func() {
		if buffer.Cap() <= maxPooledBufferBytes {
			bufferPool.Put(buffer)
		}
	}()
	writeHeader(buffer, method, response)
	writer := &stallLimitedWriter{
		conn: conn,
	}
	hasNoBody := method == http.MethodHead || !allowsBody(response.Status)
	if hasNoBody {
		closeRemainder(response)
		_, err := writer.Write(buffer.Bytes())
		return err == nil
	}
	if response.Remainder == nil {
		return writer.writeBuffers(net.Buffers{buffer.Bytes(), response.Body}) == nil
	}
	defer closeRemainder(response)
	if _, err := writer.Write(buffer.Bytes()); err != nil {
		return false
	}
	return writeStreamedBody(writer, response)
}

func writeHeader(buffer *bytes.Buffer, method string, response *Response) {
	buffer.WriteString("HTTP/1.1 ")
	buffer.WriteString(strconv.Itoa(response.Status))
	buffer.WriteByte(' ')
	buffer.WriteString(http.StatusText(response.Status))
	buffer.WriteString("\r\n")
	switch {
	case method == http.MethodHead || !allowsBody(response.Status):
		// The header keeps the Content-Length of the endpoint, if any.
	case response.BodyLength < 0:
		response.Header.Set("Transfer-Encoding", "chunked")
		response.Header.Del("Content-Length")
	default:
		response.Header.Set("Content-Length", strconv.FormatInt(response.BodyLength, 10))
	}
	// Writing to a buffer can't fail.
	_ = response.Header.Write(buffer)
	buffer.WriteString("\r\n")
}

// allowsBody reports whether a response with a status may have a body.
func allowsBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func writeStreamedBody(conn io.Writer, response *Response) bool {
	writer := conn
	var chunkedWriter io.WriteCloser
	if response.BodyLength < 0 {
		chunkedWriter = httputil.NewChunkedWriter(conn)
		writer = chunkedWriter
	}
	if _, err := writer.Write(response.Body); err != nil {
		return false
	}
	if _, err := io.Copy(writer, response.Remainder); err != nil {
		return false
	}
	if chunkedWriter == nil {
		return true
	}
	if chunkedWriter.Close() != nil {
		return false
	}
	_, err := io.WriteString(conn, "\r\n")
	return err == nil
}

func closeRemainder(response *Response) {
	if response.Remainder != nil {
		_ = response.Remainder.Close()
	}
}
