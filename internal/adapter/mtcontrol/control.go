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
	"github.com/mangotack/mangotack/internal/core/mtmember"
	"github.com/mangotack/mangotack/internal/core/mtrecord"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// settleTimeout bounds how long Publish waits to learn what became of a change.
const settleTimeout = 10 * time.Second

// state is the state of this instance.
type state interface {
	Rules() *mtrules.Rules
	IsReady() bool
	Applied() uint64
	Version(key string) *recordv1.Version
	Since(offset uint64) *recordv1.Snapshot
	Settled(id string) (offset uint64, accepted, known bool)
	Moved() <-chan struct{}
}

// log is the platform's log.
type log interface {
	Append(ctx context.Context, message proto.Message) (uint64, error)
	End(ctx context.Context) (uint64, error)
}

// members is the view of all entry instances.
type members interface {
	Known() []*peerv1.Row
	Live(now time.Time, states ...string) []*peerv1.Row
	State(instance string, now time.Time) (string, time.Duration)
}

// endpoints lists the endpoints as this instance sees them.
type endpoints interface {
	Status(now time.Time) []*entryv1.EndpointStatus
}

// Control implements the OperatorService.
type Control struct {
	instance  string
	operators []string
	state     state
	log       log
	members   members
	endpoints endpoints
	logger    *logrus.Logger
}

// NewControl returns a service that takes changes from the holders of the operators' tokens, given as hashes.
func NewControl(instance string, operators []string, state state, log log, members members, endpoints endpoints, logger *logrus.Logger) *Control {
	return &Control{
		instance:  instance,
		operators: operators,
		state:     state,
		log:       log,
		members:   members,
		endpoints: endpoints,
		logger:    logger,
	}
}

// Publish appends a change to the log and tells whether it was accepted.
//
// When the log's answer is lost, the log is read for the change's id; only a change that is not there counts as failed.
// The operator may publish the same record again, because a second append of an accepted change amends a version that
// is gone.
func (c *Control) Publish(ctx context.Context, request *connect.Request[entryv1.PublishRequest]) (*connect.Response[entryv1.PublishResponse], error) {
	record := request.Msg.GetRecord()
	if err := c.check(request.Header(), record); err != nil {
		mtevent.PublishRefused.Log(c.logger, logrus.Fields{
			"key":   mtrecord.Key(record),
			"error": err.Error(),
		})
		return nil, err
	}
	limited, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	offset, err := c.append(limited, record)
	if err != nil {
		return nil, err
	}
	return c.settle(limited, record, offset)
}

func (c *Control) check(header http.Header, record *recordv1.Record) error {
	if !c.state.IsReady() {
		return connect.NewError(connect.CodeUnavailable, errors.New("this instance has not read the log yet"))
	}
	if !c.isAllowed(header, record) {
		return connect.NewError(connect.CodePermissionDenied, errors.New("header Authorization: expected an operator's token, or for an approval the token of the service's owner"))
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

func (c *Control) isAllowed(header http.Header, record *recordv1.Record) bool {
	if approval := record.GetApproval(); approval != nil {
		return mtauth.IsOneOf(header, c.state.Rules().Service(approval.GetService()).GetOwners())
	}
	return mtauth.IsOneOf(header, c.operators)
}

// append returns the offset after which the change is settled.
func (c *Control) append(ctx context.Context, record *recordv1.Record) (uint64, error) {
	present := c.state.Version(mtrecord.Key(record)).GetNumber()
	if record.GetAmends() != present {
		if _, _, known := c.state.Settled(record.GetId()); known {
			return 0, nil
		}
		return 0, c.stale(record, present)
	}
	offset, err := c.log.Append(ctx, record)
	if err == nil {
		return offset, nil
	}
	end, failure := c.log.End(ctx)
	if failure != nil || end == 0 {
		return 0, connect.NewError(connect.CodeUnavailable, errors.New("the log gave no answer; the change may be on it, so publish the same record again"))
	}
	return end - 1, nil
}

func (c *Control) stale(record *recordv1.Record, present uint64) error {
	return connect.NewError(connect.CodeAborted, errors.New(
		mtrecord.Key(record)+": the change amends version "+number(record.GetAmends())+", the present version is "+number(present)))
}

// settle waits until the change's place on the log has been read back.
func (c *Control) settle(ctx context.Context, record *recordv1.Record, offset uint64) (*connect.Response[entryv1.PublishResponse], error) {
	for {
		moved := c.state.Moved()
		found, accepted, known := c.state.Settled(record.GetId())
		if known {
			return c.answer(record, found, accepted), nil
		}
		if c.state.Applied() > offset {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("the log does not have the change; publish the same record again"))
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("the change could not be read back in time; publish the same record again"))
		}
	}
}

func (c *Control) answer(record *recordv1.Record, offset uint64, accepted bool) *connect.Response[entryv1.PublishResponse] {
	key := mtrecord.Key(record)
	mtevent.ChangeSettled.Log(c.logger, logrus.Fields{
		"key":      key,
		"offset":   offset,
		"accepted": accepted,
	})
	return connect.NewResponse(&entryv1.PublishResponse{
		Offset:   offset,
		Accepted: accepted,
		Version:  c.state.Version(key).GetNumber(),
	})
}

// Force tells which instances have applied the log up to an offset.
func (c *Control) Force(_ context.Context, request *connect.Request[entryv1.ForceRequest]) (*connect.Response[entryv1.ForceResponse], error) {
	if err := c.authorize(request.Header()); err != nil {
		return nil, err
	}
	answer := &entryv1.ForceResponse{}
	for _, row := range c.members.Live(time.Now(), mtmember.Alive, mtmember.Suspect, mtmember.Leaving) {
		applied := row.GetApplied()
		if row.GetInstance() == c.instance {
			applied = c.state.Applied()
		}
		answer.Total++
		if applied > request.Msg.GetOffset() {
			answer.Applied++
		} else {
			answer.Waiting = append(answer.Waiting, row.GetInstance())
		}
	}
	return connect.NewResponse(answer), nil
}

func (c *Control) authorize(header http.Header) error {
	rules := c.state.Rules()
	for _, service := range rules.Services() {
		if mtauth.IsOneOf(header, service.GetOwners()) {
			return nil
		}
	}
	if mtauth.IsOneOf(header, c.operators) {
		return nil
	}
	return connect.NewError(connect.CodePermissionDenied, errors.New("header Authorization: expected the token of an operator or of a service's owner"))
}
