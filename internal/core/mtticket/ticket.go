// A key consists of a ticket and a suffix that the caller chooses:
//
//	entry-3.18c2f0.6931a1c0-deposit-77
//	^instance      ^expiry  ^suffix
//	        ^incarnation
//
// Numbers are hexadecimal; expiry is in seconds of Unix time. Only that incarnation of that instance may dispatch calls
// with the key, so two instances never both run such a call, even if their membership views differ.

package mtticket

import (
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// MaxKeyBytes bounds the length of a key in bytes.
const MaxKeyBytes = 200

var (
	namespace = errorx.NewNamespace("ticket")
	// Malformed is the type of the error for a key that is too long or whose ticket is invalid.
	Malformed = namespace.NewType("malformed")
)

// Ticket identifies the only process that may dispatch calls with the keys that start with it.
type Ticket struct {
	Instance    string
	Incarnation uint64
	Expiry      time.Time
}

// String returns the ticket as it starts a key, without the hyphen.
func (t Ticket) String() string {
	return t.Instance + "." + strconv.FormatUint(t.Incarnation, 16) + "." + strconv.FormatInt(t.Expiry.Unix(), 16)
}

// Parse parses the ticket at the start of a key; found is false if the key does not start with a ticket. The error is
// of type [Malformed].
func Parse(key string) (ticket Ticket, found bool, err error) {
	if len(key) > MaxKeyBytes {
		return Ticket{}, false, Malformed.New("a key of %d bytes, expected at most %d", len(key), MaxKeyBytes)
	}
	parts := strings.SplitN(key, ".", 3)
	if len(parts) < 3 {
		return Ticket{}, false, nil
	}
	incarnation, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return Ticket{}, false, Malformed.New("incarnation %q, expected a hexadecimal number", parts[1])
	}
	expiryText, suffix, _ := strings.Cut(parts[2], "-")
	expiry, err := strconv.ParseInt(expiryText, 16, 64)
	if err != nil || expiry < 0 {
		return Ticket{}, false, Malformed.New("expiry %q, expected a hexadecimal number of seconds", expiryText)
	}
	if parts[0] == "" || suffix == "" {
		return Ticket{}, false, Malformed.New("key %q, expected <instance>.<incarnation>.<expiry>-<suffix>", key)
	}
	return Ticket{
		Instance:    parts[0],
		Incarnation: incarnation,
		Expiry:      time.Unix(expiry, 0),
	}, true, nil
}
