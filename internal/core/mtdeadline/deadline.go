package mtdeadline

import (
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// The names of the headers that state the time left.
const (
	Connect = "Connect-Timeout-Ms"
	GRPC    = "Grpc-Timeout"
)

// digitsLimit is the longest number that both protocols allow to be read without overflow.
const digitsLimit = 10

var (
	namespace = errorx.NewNamespace("deadline")
	// Malformed is the type of the error for a header that states no time.
	Malformed = namespace.NewType("malformed")
)

// reader gives the values of headers.
type reader interface {
	Get(name string) string
}

// readWriter changes the values of headers.
type readWriter interface {
	reader
	Set(name, value string)
}

var units = map[byte]time.Duration{
	'H': time.Hour,
	'M': time.Minute,
	'S': time.Second,
	'm': time.Millisecond,
	'u': time.Microsecond,
	'n': time.Nanosecond,
}

// Read returns the time left that the headers state; found is false when they state none.
func Read(header reader) (left time.Duration, found bool, err error) {
	if text := header.Get(GRPC); text != "" {
		left, err = parseGRPC(text)
		return left, true, err
	}
	if text := header.Get(Connect); text != "" {
		number, err := parseDigits(Connect, text)
		return time.Duration(number) * time.Millisecond, true, err
	}
	return 0, false, nil
}

func parseGRPC(text string) (time.Duration, error) {
	unit, known := units[text[len(text)-1]]
	if !known {
		return 0, Malformed.New("%s: found %q, expected a number and one of H, M, S, m, u, n", GRPC, text)
	}
	number, err := parseDigits(GRPC, text[:len(text)-1])
	if err != nil {
		return 0, err
	}
	if number > int64(1<<62)/int64(unit) {
		return 1 << 62, nil
	}
	return time.Duration(number) * unit, nil
}

func parseDigits(name, text string) (int64, error) {
	if text == "" || len(text) > digitsLimit || strings.Trim(text, "0123456789") != "" {
		return 0, Malformed.New("%s: found %q, expected 1 to %d digits", name, text, digitsLimit)
	}
	return strconv.ParseInt(text, 10, 64)
}

// Write states the time left in the headers that the call came with, and in Connect's when it came with none.
func Write(header readWriter, left time.Duration) {
	left = max(left, time.Millisecond)
	milliseconds := strconv.FormatInt(left.Milliseconds(), 10)
	if strings.HasPrefix(header.Get("Content-Type"), "application/grpc") {
		header.Set(GRPC, milliseconds+"m")
		return
	}
	header.Set(Connect, milliseconds)
}
