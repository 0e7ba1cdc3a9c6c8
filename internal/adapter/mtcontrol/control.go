package mtcontrol

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/adapter/mtauth"
	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtmembership"
	"github.com/mangotack/mangotack/internal/core/mtrecord"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// publishTimeout bounds how long Publish waits until the outcome of a change is read back from the log.
const publishTimeout = 10 * time.Second

// recordState is the state that this instance has built from the records of the log.
type recordState interface {
	Rules() *mtrules.Rules
	IsReady() bool
	NextOffset() uint64
	CurrentVersion(key string) *recordv1.Version
	SnapshotSince(offset uint64) *recordv1.Snapshot
	ChangeResult(id string) (offset uint64, accepted, known bool)
	Advanced() <-chan struct{}
}

// recordLog is the stream of records in the platform's log.
type recordLog interface {
	Append(ctx context.Context, message proto.Message) (uint64, error)
	NextOffset(ctx context.Context) (uint64, error)
}

// memberView is this instance's view of all entry instances.
type memberView interface {
	Rows() []*peerv1.Row
	RowsInStates(now time.Time, states ...string) []*peerv1.Row
	InstanceState(instance string, now time.Time) (string, time.Duration)
}

// endpointLister describes the endpoints as this instance sees them.
type endpointLister interface {
	EndpointStatuses(now time.Time) []*entryv1.EndpointStatus
}

// Service implements the OperatorService.
type Service struct {
	instance string
	// operatorHashes are the hashes of the operators' tokens.
	operatorHashes []string
	state          recordState
	log            recordLog
	members        memberView
	endpoints      endpointLister
	logger         *logrus.Logger
}

// NewService returns a service that accepts changes from callers with an operator's token; operatorHashes are the
// hashes of these tokens.
func NewService(
	instance string, operatorHashes []string, state recordState, log recordLog, members memberView,
	endpoints endpointLister, logger *logrus.Logger,
) *Service {
	return &Service{
		instance:       instance,
		operatorHashes: operatorHashes,
		state:          state,
		log:            log,
		members:        members,
		endpoints:      endpoints,
		logger:         logger,
	}
}

// Publish appends a change to the log and returns whether it was accepted.
//
// When the log's response to the append is lost, the change's id is looked for in the log, and only a change that is
// not there counts as failed. The operator may publish the same record again: if the change was accepted, a second
// append of it amends a version that is no longer the present one, and is rejected.
func (c *Service) Publish(
	ctx context.Context, request *connect.Request[entryv1.PublishRequest],
) (*connect.Response[entryv1.PublishResponse], error) {
	record := request.Msg.GetRecord()
	if err := c.validate(request.Header(), record); err != nil {
		mtevent.PublishRefused.Log(c.logger, logrus.Fields{
			"key":   mtrecord.Key(record),
			"error": err.Error(),
		})
		return nil, err
	}
	publishCtx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	offset, err := c.appendChange(publishCtx, record)
	if err != nil {
		return nil, err
	}
	return c.awaitOutcome(publishCtx, record, offset)
}

// validate returns an error if the instance is not ready, the caller is not authorized or the record is invalid.
func (c *Service) validate(header http.Header, record *recordv1.Record) error {
	if !c.state.IsReady() {
		return connect.NewError(connect.CodeUnavailable, errors.New("this instance has not read the log yet"))
	}
	if !c.isAllowed(header, record) {
		return connect.NewError(connect.CodePermissionDenied, errors.New(
			"header Authorization: expected an operator's token, or for an approval the token of the service's owner"))
	}
	if record.GetId() == "" {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("record.id: found none, expected a unique id"))
	}
	if findings := mtrecord.Check(record); len(findings) > 0 {
		lines := make([]string, len(findings))
		for i, finding := range findings {
			lines[i] = finding.String()
		}
		return connect.NewError(connect.CodeInvalidArgument, errors.New(strings.Join(lines, "\n")))
	}
	return nil
}

// isAllowed reports whether the caller is an owner of the service that an approval is for, or an operator for other
// records.
func (c *Service) isAllowed(header http.Header, record *recordv1.Record) bool {
	if approval := record.GetApproval(); approval != nil {
		return mtauth.HasAllowedToken(header, c.state.Rules().Service(approval.GetService()).GetOwners())
	}
	return mtauth.HasAllowedToken(header, c.operatorHashes)
}

// appendChange appends a change and returns an offset; once the log is applied beyond it, the outcome of the change is
// final.
func (c *Service) appendChange(ctx context.Context, record *recordv1.Record) (uint64, error) {
	currentVersion := c.state.CurrentVersion(mtrecord.Key(record)).GetNumber()
	if record.GetAmends() != currentVersion {
		if _, _, known := c.state.ChangeResult(record.GetId()); known {
			return 0, nil
		}
		return 0, c.newStaleError(record, currentVersion)
	}
	offset, err := c.log.Append(ctx, record)
	if err == nil {
		return offset, nil
	}
	nextOffset, offsetErr := c.log.NextOffset(ctx)
	if offsetErr != nil || nextOffset == 0 {
		return 0, connect.NewError(connect.CodeUnavailable, errors.New(
			"the log gave no answer; the change may be on it, so publish the same record again"))
	}
	return nextOffset - 1, nil
}

func (c *Service) newStaleError(record *recordv1.Record, currentVersion uint64) error {
	return connect.NewError(connect.CodeAborted, errors.New(
		mtrecord.Key(record)+": the change amends version "+formatUint(record.GetAmends())+
			", the present version is "+formatUint(currentVersion)))
}

// awaitOutcome waits until the change is read back, or the log is applied beyond offset without it.
func (c *Service) awaitOutcome(
	ctx context.Context, record *recordv1.Record, offset uint64,
) (*connect.Response[entryv1.PublishResponse], error) {
	for {
		applied := c.state.Advanced()
		changeOffset, accepted, known := c.state.ChangeResult(record.GetId())
		if known {
			return c.reportOutcome(record, changeOffset, accepted), nil
		}
		if c.state.NextOffset() > offset {
			return nil, connect.NewError(connect.CodeUnavailable,
				errors.New("the log does not have the change; publish the same record again"))
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeUnavailable, errors.New(
				"the change could not be read back in time; publish the same record again"))
		}
	}
}

// reportOutcome logs the outcome of a change and returns it as the response.
func (c *Service) reportOutcome(
	record *recordv1.Record, offset uint64, accepted bool,
) *connect.Response[entryv1.PublishResponse] {
	key := mtrecord.Key(record)
	mtevent.ChangeSettled.Log(c.logger, logrus.Fields{
		"key":      key,
		"offset":   offset,
		"accepted": accepted,
	})
	return connect.NewResponse(&entryv1.PublishResponse{
		Offset:   offset,
		Accepted: accepted,
		Version:  c.state.CurrentVersion(key).GetNumber(),
	})
}

// Force returns how many instances have applied the record at an offset, and the names of those that have not.
func (c *Service) Force(
	_ context.Context, request *connect.Request[entryv1.ForceRequest],
) (*connect.Response[entryv1.ForceResponse], error) {
	if err := c.authorize(request.Header()); err != nil {
		return nil, err
	}
	response := &entryv1.ForceResponse{}
	for _, row := range c.members.RowsInStates(time.Now(), mtmembership.Alive, mtmembership.Suspect, mtmembership.Leaving) {
		applied := row.GetApplied()
		if row.GetInstance() == c.instance {
			applied = c.state.NextOffset()
		}
		response.Total++
		if applied > request.Msg.GetOffset() {
			response.Applied++
		} else {
			response.Waiting = append(response.Waiting, row.GetInstance())
		}
	}
	return connect.NewResponse(response), nil
}

// authorize returns an error unless the caller is an operator or the owner of a service.
func (c *Service) authorize(header http.Header) error {
	rules := c.state.Rules()
	for _, service := range rules.Services() {
		if mtauth.HasAllowedToken(header, service.GetOwners()) {
			return nil
		}
	}
	if mtauth.HasAllowedToken(header, c.operatorHashes) {
		return nil
	}
	return connect.NewError(connect.CodePermissionDenied,
		errors.New("header Authorization: expected the token of an operator or of a service's owner"))
}
