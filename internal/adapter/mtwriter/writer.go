package mtwriter

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/adapter/mtanswer"
	"github.com/mangotack/mangotack/internal/adapter/mtheader"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtrefusal"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const copyBuffer = 32 << 10

// buffers are reused, because a fresh one for each answer was half of all memory allocated.
var buffers = sync.Pool{
	New: func() any {
		return new([copyBuffer]byte)
	},
}

var statuses = map[connect.Code]int{
	connect.CodeInvalidArgument:    http.StatusBadRequest,
	connect.CodeUnauthenticated:    http.StatusUnauthorized,
	connect.CodeNotFound:           http.StatusNotFound,
	connect.CodePermissionDenied:   http.StatusForbidden,
	connect.CodeResourceExhausted:  http.StatusTooManyRequests,
	connect.CodeDeadlineExceeded:   http.StatusGatewayTimeout,
	connect.CodeAborted:            http.StatusConflict,
	connect.CodeFailedPrecondition: http.StatusBadRequest,
	connect.CodeUnavailable:        http.StatusServiceUnavailable,
}

// Writer answers in the protocol that the caller used.
type Writer struct {
	errors *connect.ErrorWriter
}

// NewWriter returns a writer.
func NewWriter() *Writer {
	return &Writer{
		errors: connect.NewErrorWriter(),
	}
}

// Refuse answers a call with a refusal; service names the service that failed, or is empty when none did.
func (w *Writer) Refuse(to http.ResponseWriter, request *http.Request, refusal *mtrefusal.Refusal, service string) {
	header := to.Header()
	header.Set(mtoutcome.Header, string(refusal.Outcome))
	header.Set(mtoutcome.ReasonHeader, refusal.Reason)
	if service != "" {
		header.Set(mtcall.FailedHeader, service)
	}
	if refusal.Retry > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.Retry.Seconds()))))
	}
	if !w.errors.IsSupported(request) {
		writePlain(to, refusal)
		return
	}
	// The error of Write is that of a caller who has left.
	_ = w.errors.Write(to, request, toError(refusal))
}

func toError(refusal *mtrefusal.Refusal) *connect.Error {
	failure := connect.NewError(refusal.Code(), errors.New(refusal.Message))
	described := &entryv1.Refusal{
		Outcome: string(refusal.Outcome),
		Reason:  refusal.Reason,
	}
	if refusal.Retry > 0 {
		described.Retry = durationpb.New(refusal.Retry)
	}
	if detail, err := connect.NewErrorDetail(described); err == nil {
		failure.AddDetail(detail)
	}
	return failure
}

// plain is the body of a refusal to a caller that speaks neither Connect nor gRPC.
type plain struct {
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	Message string `json:"message"`
	Retry   string `json:"retry,omitempty"`
}

func writePlain(to http.ResponseWriter, refusal *mtrefusal.Refusal) {
	status, known := statuses[refusal.Code()]
	if !known {
		status = http.StatusInternalServerError
	}
	body := plain{
		Reason:  refusal.Reason,
		Outcome: string(refusal.Outcome),
		Message: refusal.Message,
	}
	if refusal.Retry > 0 {
		body.Retry = refusal.Retry.Round(time.Millisecond).String()
	}
	to.Header().Set("Content-Type", "application/json")
	to.WriteHeader(status)
	encoder := json.NewEncoder(to)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}

// Answer copies an endpoint's answer to the caller and reports whether all of it was copied.
//
// After a false result the caller's connection must be cut, because what was written must not look complete.
func (w *Writer) Answer(to http.ResponseWriter, answer *mtanswer.Answer) bool {
	response := answer.Response
	header := to.Header()
	mtheader.CopyEndToEnd(header, response.Header)
	header.Del(mtcall.RefusedHeader)
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	to.WriteHeader(response.StatusCode)
	if !copyBody(to, response) || !answer.IsComplete() {
		return false
	}
	for name, values := range response.Trailer {
		for _, value := range values {
			header.Add(http.TrailerPrefix+name, value)
		}
	}
	return true
}

// copyBody flushes after each read when the length is unknown, because a stream may pause after any part.
func copyBody(to http.ResponseWriter, response *http.Response) bool {
	control := http.NewResponseController(to)
	streaming := response.ContentLength < 0
	if streaming {
		_ = control.Flush()
	}
	buffer := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buffer)
	for {
		n, err := response.Body.Read(buffer[:])
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return false
			}
			if streaming {
				_ = control.Flush()
			}
		}
		if err != nil {
			return err == io.EOF
		}
	}
}
