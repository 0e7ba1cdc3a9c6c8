package mtcontrol

import (
	"context"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
)

// Status returns the state of this instance and its view of the other instances and the endpoints.
func (c *Service) Status(
	_ context.Context, request *connect.Request[entryv1.StatusRequest],
) (*connect.Response[entryv1.StatusResponse], error) {
	if err := c.authorize(request.Header()); err != nil {
		return nil, err
	}
	now := time.Now()
	response := &entryv1.StatusResponse{
		Instance:  c.instance,
		Applied:   c.state.NextOffset(),
		Ready:     c.state.IsReady(),
		Endpoints: c.endpoints.EndpointStatuses(now),
		Versions:  c.state.SnapshotSince(0).GetVersions(),
	}
	for _, row := range c.members.Rows() {
		state, silence := c.members.InstanceState(row.GetInstance(), now)
		response.Instances = append(response.Instances, &entryv1.InstanceStatus{
			Name:    row.GetInstance(),
			Centre:  row.GetCentre(),
			Calls:   row.GetCalls(),
			State:   state,
			Applied: row.GetApplied(),
			Age:     durationpb.New(silence),
		})
	}
	return connect.NewResponse(response), nil
}

func formatUint(value uint64) string {
	return strconv.FormatUint(value, 10)
}
