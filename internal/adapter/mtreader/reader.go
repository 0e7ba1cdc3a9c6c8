package mtreader

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtauth"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtdeadline"
	"github.com/mangotack/mangotack/internal/core/mtrefusal"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	"github.com/mangotack/mangotack/internal/core/mtticket"
)

// maxSpentRetries is the largest number of retries accepted in the header mtcall.RetriesSpentHeader.
const maxSpentRetries = 1000

// Reader parses HTTP requests into calls.
type Reader struct{}

// Read returns the call of a request; its error is an *mtrefusal.Refusal if the request is invalid or its team may not
// call the service.
func (Reader) Read(request *http.Request, rules *mtrules.Rules, now time.Time) (*mtcall.Call, error) {
	token, found := mtauth.BearerToken(request.Header)
	if !found {
		return nil, mtrefusal.NewNotRun(mtrefusal.NoTeam,
			"header Authorization: found none, expected Bearer and a team's token")
	}
	customer, team, known := rules.TeamByToken(token)
	if !known {
		return nil, mtrefusal.NewNotRun(mtrefusal.NoTeam, "header Authorization: the token belongs to no team")
	}
	serviceName, method, err := splitPath(request.URL.Path)
	if err != nil {
		return nil, err
	}
	if !rules.MayCall(customer, team, serviceName) {
		return nil, mtrefusal.NewNotRun(mtrefusal.Forbidden,
			"team %s/%s is not approved for service %s", customer, team.GetName(), serviceName)
	}
	service := rules.Service(serviceName)
	if service == nil {
		return nil, mtrefusal.NewNotRun(mtrefusal.NoService, "service %s has no record", serviceName)
	}
	call := &mtcall.Call{
		Service:    service,
		Method:     method,
		Customer:   customer,
		Team:       team,
		Contract:   rules.Contract(customer),
		Idempotent: rules.IsIdempotent(serviceName, method),
	}
	return call, applyHeaders(call, request.Header, now)
}

// splitPath splits a path of the form /<package.Service>/<Method>.
func splitPath(path string) (service, method string, err error) {
	service, method, found := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !found || service == "" || method == "" || strings.Contains(method, "/") {
		return "", "", mtrefusal.NewNotRun(mtrefusal.BadCall,
			"path: found %q, expected /<package.Service>/<Method>", path)
	}
	return service, method, nil
}

// applyHeaders sets the deadline, the number of retries spent and the key of a call from the headers of its request.
func applyHeaders(call *mtcall.Call, header http.Header, now time.Time) error {
	timeout, found, err := mtdeadline.Read(header)
	if err != nil {
		return mtrefusal.NewNotRun(mtrefusal.BadCall, "header %s", err.Error())
	}
	if !found {
		timeout = call.Service.GetTimeout().AsDuration()
	}
	call.Deadline = now.Add(timeout)
	if call.RetriesSpent, err = parseSpentRetries(header); err != nil {
		return err
	}
	call.IdempotencyKey = header.Get(mtcall.IdempotencyKeyHeader)
	if len(call.IdempotencyKey) > mtticket.MaxKeyBytes {
		return mtrefusal.NewNotRun(mtrefusal.BadCall, "header %s: found %d bytes, expected at most %d",
			mtcall.IdempotencyKeyHeader, len(call.IdempotencyKey), mtticket.MaxKeyBytes)
	}
	return nil
}

func parseSpentRetries(header http.Header) (int, error) {
	value := header.Get(mtcall.RetriesSpentHeader)
	if value == "" {
		return 0, nil
	}
	spent, err := strconv.Atoi(value)
	if err != nil || spent < 0 || spent > maxSpentRetries {
		return 0, mtrefusal.NewNotRun(mtrefusal.BadCall, "header %s: found %q, expected a number from 0 to %d",
			mtcall.RetriesSpentHeader, value, maxSpentRetries)
	}
	return spent, nil
}
