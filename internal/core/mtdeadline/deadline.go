package mtdeadline

import (
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// The names of the time-out headers of the protocols.
const (
	ConnectHeader = "Connect-Timeout-Ms"
	GRPCHeader    = "Grpc-Timeout"
)

// maxDigits bounds the length of a number, so that it is read without overflow in both protocols.
const maxDigits = 10

var (
	namespace = errorx.NewNamespace("deadline")
	// Malformed is the type of the error for a header that is not a valid time-out.
	Malformed = namespace.NewType("malformed")
)

// headerReader reads header values.
type headerReader interface {
	Get(name string) string
}

// headerReadWriter reads and sets header values.
type headerReadWriter interface {
	headerReader
	Set(name, value string)
}

// units are the units of a gRPC time-out.
var units = map[byte]time.Duration{
	'H': time.Hour,
	'M': time.Minute,
	'S': time.Second,
	'm': time.Millisecond,
	'u': time.Microsecond,
	'n': time.Nanosecond,
}

// Read returns the time left for the call by its headers; found is false when there is no time-out header. The gRPC
// header takes precedence. Errors are Malformed.
func Read(header headerReader) (left time.Duration, found bool, err error) {
	if text := header.Get(GRPCHeader); text != "" {
		left, err = parseGRPC(text)
		return left, true, err
	}
	if text := header.Get(ConnectHeader); text != "" {
		number, err := parseDigits(ConnectHeader, text)
		return time.Duration(number) * time.Millisecond, true, err
	}
	return 0, false, nil
}

func parseGRPC(text string) (time.Duration, error) {
	unit, known := units[text[len(text)-1]]
	if !known {
		return 0, Malformed.New("%s: found %q, expected a number and one of H, M, S, m, u, n", GRPCHeader, text)
	}
	number, err := parseDigits(GRPCHeader, text[:len(text)-1])
	if err != nil {
		return 0, err
	}
	if number > int64(1<<62)/int64(unit) {
		return 1 << 62, nil
	}
	return time.Duration(number) * unit, nil
}

func parseDigits(name, text string) (int64, error) {
	if text == "" || len(text) > maxDigits || strings.Trim(text, "0123456789") != "" {
		return 0, Malformed.New("%s: found %q, expected 1 to %d digits", name, text, maxDigits)
	}
	return strconv.ParseInt(text, 10, 64)
}

// Write sets the time left, at least 1 ms, in the header of the call's protocol: gRPC by its content type, otherwise
// Connect.
func Write(header headerReadWriter, left time.Duration) {
	left = max(left, time.Millisecond)
	milliseconds := strconv.FormatInt(left.Milliseconds(), 10)
	if strings.HasPrefix(header.Get("Content-Type"), "application/grpc") {
		header.Set(GRPCHeader, milliseconds+"m")
		return
	}
	header.Set(ConnectHeader, milliseconds)
}
