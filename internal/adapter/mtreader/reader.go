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

// spentLimit is the largest number of retries that a header may state.
const spentLimit = 1000

// Reader turns requests into calls.
type Reader struct{}

// Read returns the call of a request, or the refusal of a request that is not a call that its team may make.
func (Reader) Read(request *http.Request, rules *mtrules.Rules, now time.Time) (*mtcall.Call, error) {
	token, found := mtauth.Bearer(request.Header)
	if !found {
		return nil, mtrefusal.NotRun(mtrefusal.NoTeam, "header Authorization: found none, expected Bearer and a team's token")
	}
	customer, team, known := rules.Team(token)
	if !known {
		return nil, mtrefusal.NotRun(mtrefusal.NoTeam, "header Authorization: the token belongs to no team")
	}
	serviceName, method, err := split(request.URL.Path)
	if err != nil {
		return nil, err
	}
	if !rules.MayCall(customer, team, serviceName) {
		return nil, mtrefusal.NotRun(mtrefusal.Forbidden, "team %s/%s is not approved for service %s", customer, team.GetName(), serviceName)
	}
	service := rules.Service(serviceName)
	if service == nil {
		return nil, mtrefusal.NotRun(mtrefusal.NoService, "service %s has no record", serviceName)
	}
	call := &mtcall.Call{
		Service:    service,
		Method:     method,
		Customer:   customer,
		Team:       team,
		Contract:   rules.Contract(customer),
		Idempotent: rules.IsIdempotent(serviceName, method),
	}
	return call, complete(call, request.Header, now)
}

func split(path string) (service, method string, err error) {
	service, method, found := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !found || service == "" || method == "" || strings.Contains(method, "/") {
		return "", "", mtrefusal.NotRun(mtrefusal.BadCall, "path: found %q, expected /<package.Service>/<Method>", path)
	}
	return service, method, nil
}

func complete(call *mtcall.Call, header http.Header, now time.Time) error {
	left, found, err := mtdeadline.Read(header)
	if err != nil {
		return mtrefusal.NotRun(mtrefusal.BadCall, "header %s", err.Error())
	}
	if !found {
		left = call.Service.GetTimeout().AsDuration()
	}
	call.Deadline = now.Add(left)
	if call.Spent, err = readSpent(header); err != nil {
		return err
	}
	call.Key = header.Get(mtcall.KeyHeader)
	if len(call.Key) > mtticket.KeyLimit {
		return mtrefusal.NotRun(mtrefusal.BadCall, "header %s: found %d bytes, expected at most %d", mtcall.KeyHeader, len(call.Key), mtticket.KeyLimit)
	}
	return nil
}

func readSpent(header http.Header) (int, error) {
	text := header.Get(mtcall.SpentHeader)
	if text == "" {
		return 0, nil
	}
	spent, err := strconv.Atoi(text)
	if err != nil || spent < 0 || spent > spentLimit {
		return 0, mtrefusal.NotRun(mtrefusal.BadCall, "header %s: found %q, expected a number from 0 to %d", mtcall.SpentHeader, text, spentLimit)
	}
	return spent, nil
}
