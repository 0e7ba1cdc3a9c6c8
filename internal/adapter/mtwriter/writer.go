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

// copyBufferSize is the size of the buffers in copyBuffers in bytes.
const copyBufferSize = 32 << 10

// copyBuffers reuses buffers, because a new buffer for each response makes up half of all memory allocated.
var copyBuffers = sync.Pool{
	New: func() any {
		return new([copyBufferSize]byte)
	},
}

// httpStatuses maps the codes of refusals to HTTP statuses for callers that use neither Connect nor gRPC.
var httpStatuses = map[connect.Code]int{
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

// Writer writes responses in the protocol of the request.
type Writer struct {
	errorWriter *connect.ErrorWriter
}

// NewWriter returns a writer for Connect, gRPC, gRPC-Web and plain HTTP callers.
func NewWriter() *Writer {
	return &Writer{
		errorWriter: connect.NewErrorWriter(),
	}
}

// WriteRefusal writes a refusal; failedService names the service that failed, or is empty if none did.
func (w *Writer) WriteRefusal(
	response http.ResponseWriter, request *http.Request, refusal *mtrefusal.Refusal, failedService string,
) {
	header := response.Header()
	header.Set(mtoutcome.Header, string(refusal.Outcome))
	header.Set(mtoutcome.ReasonHeader, refusal.Reason)
	if failedService != "" {
		header.Set(mtcall.FailedServiceHeader, failedService)
	}
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	if !w.errorWriter.IsSupported(request) {
		writeJSON(response, refusal)
		return
	}
	// Write fails only if the caller has disconnected.
	_ = w.errorWriter.Write(response, request, newError(refusal))
}

// newError returns a refusal as a Connect error with an entryv1.Refusal as its detail.
func newError(refusal *mtrefusal.Refusal) *connect.Error {
	connectError := connect.NewError(refusal.Code(), errors.New(refusal.Message))
	detailMessage := &entryv1.Refusal{
		Outcome: string(refusal.Outcome),
		Reason:  refusal.Reason,
	}
	if refusal.RetryAfter > 0 {
		detailMessage.Retry = durationpb.New(refusal.RetryAfter)
	}
	if detail, err := connect.NewErrorDetail(detailMessage); err == nil {
		connectError.AddDetail(detail)
	}
	return connectError
}

// jsonRefusal is the body of a refusal to a caller that uses neither Connect nor gRPC.
type jsonRefusal struct {
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	Message string `json:"message"`
	Retry   string `json:"retry,omitempty"`
}

func writeJSON(response http.ResponseWriter, refusal *mtrefusal.Refusal) {
	status, known := httpStatuses[refusal.Code()]
	if !known {
		status = http.StatusInternalServerError
	}
	body := jsonRefusal{
		Reason:  refusal.Reason,
		Outcome: string(refusal.Outcome),
		Message: refusal.Message,
	}
	if refusal.RetryAfter > 0 {
		body.Retry = refusal.RetryAfter.Round(time.Millisecond).String()
	}
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	encoder := json.NewEncoder(response)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}

// CopyResponse copies the response of an endpoint to the caller and reports whether all of it was copied.
//
// After a false result the connection to the caller must be aborted, so that the part that was written doesn't look
// complete.
func (w *Writer) CopyResponse(response http.ResponseWriter, answer *mtanswer.Answer) bool {
	endpointResponse := answer.Response
	header := response.Header()
	mtheader.CopyEndToEnd(header, endpointResponse.Header)
	header.Del(mtcall.RefusedAttemptHeader)
	for name := range endpointResponse.Trailer {
		header.Add("Trailer", name)
	}
	response.WriteHeader(endpointResponse.StatusCode)
	if !copyBody(response, endpointResponse) || !answer.HasRequiredStatus() {
		return false
	}
	for name, values := range endpointResponse.Trailer {
		for _, value := range values {
			header.Add(http.TrailerPrefix+name, value)
		}
	}
	return true
}

// copyBody copies the body of an endpoint's response and reports whether it was copied up to its end. It flushes after
// each read when the length is unknown, because a stream may pause after any message.
func copyBody(response http.ResponseWriter, endpointResponse *http.Response) bool {
	controller := http.NewResponseController(response)
	streaming := endpointResponse.ContentLength < 0
	if streaming {
		_ = controller.Flush()
	}
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := endpointResponse.Body.Read(buffer[:])
		if n > 0 {
			if _, writeErr := response.Write(buffer[:n]); writeErr != nil {
				return false
			}
			if streaming {
				_ = controller.Flush()
			}
		}
		if err != nil {
			return err == io.EOF
		}
	}
}
