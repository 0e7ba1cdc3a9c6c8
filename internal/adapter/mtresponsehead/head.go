package mtresponsehead

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// UntilClose is the BodyLength of a body that ends with its connection, and Chunked that of a body in chunks.
const (
	UntilClose int64 = -1
	Chunked    int64 = -2
)

const (
	minStatus = 100
	maxStatus = 599
	// maxLengthDigits bounds a Content-Length to values that fit in an int64.
	maxLengthDigits = 18
)

// Head is the head of a response.
type Head struct {
	// Minor is the second number of the HTTP version.
	Minor  int
	Status int
	// Header has the fields by their canonical names, without Transfer-Encoding.
	Header http.Header
	// BodyLength is the number of body bytes that follow on the connection, UntilClose or Chunked.
	BodyLength int64
	// DeclaredLength is the Content-Length, or -1 if there is none; a response without a body may declare one.
	DeclaredLength int64
}

// Error tells why a head is not valid.
type Error struct {
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	return "invalid response head: " + e.Reason
}

func invalid(format string, arguments ...any) error {
	return &Error{
		Reason: fmt.Sprintf(format, arguments...),
	}
}

// valueBytes tells which bytes a field value or a reason phrase may contain: no control bytes except the tab.
var valueBytes = func() (table [256]bool) {
	for b := range table {
		table[b] = b >= ' ' && b != 0x7f || b == '\t'
	}
	return table
}()

// nameBytes tells which bytes a field name may contain.
var nameBytes = func() (table [256]bool) {
	for b := range table {
		table[b] = httpguts.IsTokenRune(rune(b))
	}
	return table
}()

// Parse parses a complete head, which ends with an empty line, of a response to a request with the given method.
func Parse(text, method string) (*Head, error) {
	line, rest, found := cutLine(text)
	if !found {
		return nil, invalid("the status line does not end")
	}
	head := &Head{
		DeclaredLength: -1,
	}
	if err := head.parseStatusLine(line); err != nil {
		return nil, err
	}
	count := strings.Count(rest, "\n")
	head.Header = make(http.Header, count)
	// values holds the values of all fields that occur once, which saves an allocation for each.
	values := make([]string, count)
	isChunked := false
	for {
		line, rest, found = cutLine(rest)
		if !found {
			return nil, invalid("a line does not end")
		}
		if line == "" {
			break
		}
		name, value, err := parseField(line)
		if err != nil {
			return nil, err
		}
		switch name {
		case "Content-Length":
			if head.DeclaredLength >= 0 {
				return nil, invalid("more than one Content-Length")
			}
			if head.DeclaredLength, err = parseLength(value); err != nil {
				return nil, err
			}
		case "Transfer-Encoding":
			if isChunked || head.Minor == 0 || !strings.EqualFold(value, "chunked") {
				return nil, invalid("Transfer-Encoding is not one chunked")
			}
			isChunked = true
			continue
		}
		if previous := head.Header[name]; previous != nil {
			head.Header[name] = append(previous, value)
			continue
		}
		values[0] = value
		head.Header[name], values = values[:1:1], values[1:]
	}
	if rest != "" {
		return nil, invalid("bytes follow the empty line")
	}
	return head, head.setBodyLength(method, isChunked)
}

// cutLine returns the text before the first line end, and the text behind it. Only the last CR before the LF belongs to
// the line end; any other is refused as a control byte.
func cutLine(text string) (line, rest string, found bool) {
	end := strings.IndexByte(text, '\n')
	if end < 0 {
		return "", "", false
	}
	line = text[:end]
	if end > 0 && line[end-1] == '\r' {
		line = line[:end-1]
	}
	return line, text[end+1:], true
}

// parseStatusLine parses a line such as "HTTP/1.1 200 OK". The blank before an empty reason phrase may be absent, since
// common servers omit it.
func (h *Head) parseStatusLine(line string) error {
	const prefix = "HTTP/1."
	if len(line) < len("HTTP/1.1 200") || line[:len(prefix)] != prefix || !isDigit(line[7]) || line[8] != ' ' {
		return invalid("no HTTP/1 version in the status line")
	}
	h.Minor = int(line[7] - '0')
	for _, b := range []byte(line[9:12]) {
		if !isDigit(b) {
			return invalid("the status is not three digits")
		}
		h.Status = 10*h.Status + int(b-'0')
	}
	if h.Status < minStatus || h.Status > maxStatus || h.Status == http.StatusSwitchingProtocols {
		return invalid("status %03d", h.Status)
	}
	reason := line[12:]
	if reason != "" && reason[0] != ' ' {
		return invalid("the status is not three digits")
	}
	if !isValue(reason) {
		return invalid("control byte in the reason phrase")
	}
	return nil
}

func isDigit(b byte) bool {
	return '0' <= b && b <= '9'
}

func isValue(text string) bool {
	for i := range len(text) {
		if !valueBytes[text[i]] {
			return false
		}
	}
	return true
}

// parseField parses a field line and returns its canonical name and its value.
func parseField(line string) (name, value string, err error) {
	end := 0
	for end < len(line) && nameBytes[line[end]] {
		end++
	}
	if end == 0 || end == len(line) || line[end] != ':' {
		return "", "", invalid("a field name is not a token")
	}
	value = line[end+1:]
	if !isValue(value) {
		return "", "", invalid("control byte in the field %s", line[:end])
	}
	return textproto.CanonicalMIMEHeaderKey(line[:end]), textproto.TrimString(value), nil
}

func parseLength(text string) (int64, error) {
	if len(text) == 0 || len(text) > maxLengthDigits {
		return -1, invalid("Content-Length is not a number")
	}
	for i := range len(text) {
		if !isDigit(text[i]) {
			return -1, invalid("Content-Length is not a number")
		}
	}
	length, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return -1, invalid("Content-Length is not a number")
	}
	return length, nil
}

// setBodyLength sets BodyLength from the fields and the method of the request.
func (h *Head) setBodyLength(method string, isChunked bool) error {
	isInterim := h.Status < http.StatusOK
	switch {
	case isChunked && h.DeclaredLength >= 0:
		return invalid("Transfer-Encoding and Content-Length")
	case (isInterim || h.Status == http.StatusNoContent) && (isChunked || h.DeclaredLength > 0):
		return invalid("status %d with a body", h.Status)
	case isInterim || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified || method == http.MethodHead:
		h.BodyLength = 0
	case isChunked:
		h.BodyLength = Chunked
	default:
		h.BodyLength = h.DeclaredLength
	}
	return nil
}

// closes reports whether the connection ends with this response.
func (h *Head) closes() bool {
	if h.BodyLength == UntilClose {
		return true
	}
	fields := h.Header["Connection"]
	return httpguts.HeaderValuesContainsToken(fields, "close") ||
		h.Minor == 0 && !httpguts.HeaderValuesContainsToken(fields, "keep-alive")
}
