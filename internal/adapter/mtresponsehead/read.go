package mtresponsehead

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
)

const (
	// MaxBytes bounds a head.
	MaxBytes = 64 << 10
	// maxTrailerBytes bounds the trailer fields behind a chunked body, which are dropped.
	maxTrailerBytes = 4 << 10
	// usualBytes is the size of a head that is read without an allocation for its lines.
	usualBytes = 2 << 10
)

var errTooLarge = errors.New("response head exceeds 64 KiB")

// Read reads the next head of a response to a request with the given method. The body of the response reads from the same
// reader and fails with io.ErrUnexpectedEOF if it breaks off. A body that ends with its connection is only as complete as
// the caller knows the connection to have ended in order.
func Read(reader *bufio.Reader, method string) (*http.Response, error) {
	var buffer [usualBytes]byte
	text, err := readText(reader, buffer[:0])
	if err != nil {
		return nil, err
	}
	head, err := Parse(string(text), method)
	if err != nil {
		return nil, err
	}
	response := &http.Response{
		StatusCode:    head.Status,
		ProtoMajor:    1,
		ProtoMinor:    head.Minor,
		Header:        head.Header,
		ContentLength: head.BodyLength,
		Close:         head.closes(),
	}
	switch head.BodyLength {
	case 0:
		response.ContentLength = max(0, head.DeclaredLength)
		response.Body = http.NoBody
	case Chunked:
		response.ContentLength = -1
		response.TransferEncoding = []string{"chunked"}
		response.Body = &chunkedBody{
			reader: reader,
			chunks: httputil.NewChunkedReader(reader),
		}
	case UntilClose:
		response.Body = io.NopCloser(reader)
	default:
		response.Body = &sizedBody{
			reader:    reader,
			remaining: head.BodyLength,
		}
	}
	return response, nil
}

// readText appends the lines up to the empty one to text.
func readText(reader *bufio.Reader, text []byte) ([]byte, error) {
	lineStart := 0
	for {
		part, err := reader.ReadSlice('\n')
		text = append(text, part...)
		switch {
		case len(text) > MaxBytes:
			return nil, errTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case isEmptyLine(text[lineStart:]):
			return text, nil
		}
		lineStart = len(text)
	}
}

func isEmptyLine(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

// sizedBody is a body with a Content-Length.
type sizedBody struct {
	reader    *bufio.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	switch {
	case b.remaining == 0 && (err == nil || errors.Is(err, io.EOF)):
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Close implements io.Closer; the connection belongs to the caller of Read.
func (b *sizedBody) Close() error {
	return nil
}

// chunkedBody is a body in chunks; its trailer fields are checked and dropped.
type chunkedBody struct {
	reader *bufio.Reader
	chunks io.Reader
	end    error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.readTrailer()
	}
	b.end = err
	return n, err
}

// readTrailer reads the fields behind the last chunk, and returns io.EOF if they are valid.
func (b *chunkedBody) readTrailer() error {
	size := 0
	for {
		line, err := b.reader.ReadSlice('\n')
		size += len(line)
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case isEmptyLine(line):
			return io.EOF
		case size > maxTrailerBytes:
			return invalid("trailer fields exceed 4 KiB")
		}
		text, _, _ := cutLine(string(line))
		if _, _, err := parseField(text); err != nil {
			return err
		}
	}
}

// Close implements io.Closer; the connection belongs to the caller of Read.
func (b *chunkedBody) Close() error {
	return nil
}
