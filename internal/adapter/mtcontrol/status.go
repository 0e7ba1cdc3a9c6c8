package mtcontrol

import (
	"context"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
)

// Status returns the state that this instance sees.
func (c *Control) Status(_ context.Context, request *connect.Request[entryv1.StatusRequest]) (*connect.Response[entryv1.StatusResponse], error) {
	if err := c.authorize(request.Header()); err != nil {
		return nil, err
	}
	now := time.Now()
	answer := &entryv1.StatusResponse{
		Instance:  c.instance,
		Applied:   c.state.Applied(),
		Ready:     c.state.IsReady(),
		Endpoints: c.endpoints.Status(now),
		Versions:  c.state.Since(0).GetVersions(),
	}
	for _, row := range c.members.Known() {
		state, silence := c.members.State(row.GetInstance(), now)
		answer.Instances = append(answer.Instances, &entryv1.InstanceStatus{
			Name:    row.GetInstance(),
			Centre:  row.GetCentre(),
			Calls:   row.GetCalls(),
			State:   state,
			Applied: row.GetApplied(),
			Age:     durationpb.New(silence),
		})
	}
	return connect.NewResponse(answer), nil
}

func number(value uint64) string {
	return strconv.FormatUint(value, 10)
}
