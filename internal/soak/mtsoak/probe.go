package mtsoak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/mangotack/mangotack/internal/soak/mtpromise"
	"github.com/mangotack/mangotack/platform/mtfake"
	"github.com/mangotack/mangotack/platform/mtname"
)

const (
	// applyTime is the time in which a configuration is in force: config_apply_ms of the users' sites.
	applyTime = 2500 * time.Millisecond
	// probePause is the time between two probes of an instance.
	probePause = 150 * time.Millisecond
	probeLimit = time.Second
	// settleTime is how long a disturbance excuses a late configuration after its end.
	settleTime = 3 * time.Second
)

// probe watches which configuration is in force at one instance until the context ends.
func (r *run) probe(ctx context.Context, number int) {
	member := r.members[number]
	client := &http.Client{
		Timeout:   probeLimit,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1},
	}
	seen, seenBy := 0, 0
	for count := 0; ctx.Err() == nil; count++ {
		time.Sleep(probePause)
		incarnation, _ := member.Incarnation()
		if incarnation != seenBy {
			seen, seenBy = 0, incarnation
		}
		version, published := r.published()
		began := r.now()
		known, inForce := r.ask(client, number, version, fmt.Sprintf("%04x%012x", 0xf000+number, 2*count))
		after, _ := member.Incarnation()
		if newest, _ := r.published(); !known || after != incarnation || newest != version {
			continue
		}
		switch {
		case inForce:
			seen = max(seen, version)
		case seen >= version:
			r.ledger.Break(r.now(), mtpromise.NoStepBack, "instance %d has gone back from configuration %d", number, version)
		case began-published > applyTime && !r.disturbances.touched(published-settleTime, began, "store", r.names[number], leaving(number)):
			r.ledger.Break(r.now(), mtpromise.InForce, "configuration %d is not in force at instance %d after %v", version, number, began-published)
		}
		if seen > 1 {
			older, stands := r.ask(client, number, seen-1, fmt.Sprintf("%04x%012x", 0xf000+number, 2*count+1))
			if after, _ := member.Incarnation(); older && stands && after == incarnation {
				r.ledger.Break(r.now(), mtpromise.NoStepBack, "instance %d serves configuration %d after %d", number, seen-1, seen)
			}
		}
	}
}

// ask reports whether an instance has a version in force; known is false when its answer does not tell.
func (r *run) ask(client *http.Client, number, version int, id string) (known, inForce bool) {
	request, err := http.NewRequest(http.MethodGet, "http://"+r.members[number].Instance.Calls()+mtfake.VersionPath(version), nil)
	if err != nil {
		return false, false
	}
	request.Host = mtfake.Host
	request.Header.Set(mtname.AttemptHeader, id)
	request.Header.Set(mtname.DeadlineHeader, fmt.Sprint(probeLimit.Milliseconds()))
	r.ledger.Asked(id, "menu", true, number, r.now())
	response, err := client.Do(request)
	if err != nil {
		return false, false
	}
	defer response.Body.Close()
	// What is left of the answer tells nothing of the configuration.
	_, _ = io.Copy(io.Discard, response.Body)
	switch response.StatusCode {
	case http.StatusOK:
		return true, true
	case http.StatusNotFound:
		return true, false
	default:
		return false, false
	}
}
