// Claims are appended in batches, at most one per instance in each period, because the log takes only several hundred
// appends a second from the whole system. A call waits until its own claim was read back:
//
//	call -> pending batch -> append -> read back -> first claim of the key -> dispatch, or ask its holder
//
// The append's answer is not needed: what counts is what is read. A call that stops waiting is never dispatched, so its
// caller may be told that it did not run, whatever the log holds later.

package mtclaimer

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/core/mtclaims"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
)

const (
	appendTimeout = 2 * time.Second
	readWait      = 2 * time.Second
	retryDelay    = 500 * time.Millisecond
	// batchLimit bounds the claims of one append.
	batchLimit = 500
)

var (
	namespace = errorx.NewNamespace("claimer")
	// Unavailable is the type of the error for a claim that could not be made; the call is not dispatched.
	Unavailable = namespace.NewType("unavailable")
	// Full is the type of the error for a table or a batch without room; the call is not dispatched.
	Full = namespace.NewType("full")
)

// stream is the stream of claims on the platform's log.
type stream interface {
	Append(ctx context.Context, message proto.Message) (uint64, error)
	Read(ctx context.Context, from uint64, wait time.Duration) (*platformv1.ReadResponse, error)
}

// Claimer claims keys for one incarnation of an instance; it is safe for use by many goroutines.
type Claimer struct {
	stream      stream
	instance    string
	incarnation uint64
	limit       int
	mu          sync.Mutex
	claims      *mtclaims.Claims
	pending     []*peerv1.Claim
	moved       chan struct{}
	current     bool
}

// NewClaimer returns a claimer that keeps at most limit keys.
func NewClaimer(stream stream, instance string, incarnation uint64, limit int) *Claimer {
	return &Claimer{
		stream:      stream,
		instance:    instance,
		incarnation: incarnation,
		limit:       limit,
		claims:      mtclaims.NewClaims(),
		moved:       make(chan struct{}),
	}
}

// Claim returns the first claim of a key, and whether it is the one made by this very call.
func (c *Claimer) Claim(ctx context.Context, team, key string, digest []byte) (first *peerv1.Claim, own bool, err error) {
	claim := &peerv1.Claim{
		Id:          rand.Uint64(),
		Team:        team,
		Key:         key,
		Digest:      digest,
		Instance:    c.instance,
		Incarnation: c.incarnation,
	}
	if first, err = c.add(claim); first != nil || err != nil {
		return first, false, err
	}
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	for {
		moved, first := c.look(team, key)
		if first != nil {
			return first, isSame(first, claim), nil
		}
		select {
		case <-moved:
		case <-limited.Done():
			return nil, false, Unavailable.New("the claim of the key could not be read back from the log")
		}
	}
}

func isSame(a, b *peerv1.Claim) bool {
	return a.GetId() == b.GetId() && a.GetIncarnation() == b.GetIncarnation() && bytes.Equal(a.GetDigest(), b.GetDigest())
}

// add puts a claim into the next batch, unless the key is claimed already.
func (c *Claimer) add(claim *peerv1.Claim) (*peerv1.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first := c.claims.First(claim.GetTeam(), claim.GetKey()); first != nil {
		return first, nil
	}
	if !c.current {
		return nil, Unavailable.New("the log of claims can't be read at present")
	}
	if c.claims.Len() >= c.limit || len(c.pending) >= batchLimit {
		return nil, Full.New("%d keys are claimed and %d wait, the table is full", c.claims.Len(), len(c.pending))
	}
	c.pending = append(c.pending, claim)
	return nil, nil
}

func (c *Claimer) look(team, key string) (<-chan struct{}, *peerv1.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moved, c.claims.First(team, key)
}

// Flush appends the claims that wait; it is called once per period, which bounds the appends.
//
// A batch whose append fails is dropped: it may be on the log all the same, and then its claims are read back.
func (c *Claimer) Flush(ctx context.Context) {
	c.mu.Lock()
	batch := &peerv1.Claims{
		Claims: c.pending,
	}
	c.pending = nil
	c.mu.Unlock()
	if len(batch.GetClaims()) == 0 {
		return
	}
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.stream.Append(limited, batch); err != nil {
		c.setCurrent(false)
	}
}

func (c *Claimer) setCurrent(current bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = current
}

// Run reads the claims back until the context ends.
func (c *Claimer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		answer, err := c.read(ctx)
		if err == nil {
			err = c.apply(answer)
		}
		if err != nil {
			c.setCurrent(false)
			select {
			case <-ctx.Done():
			case <-time.After(retryDelay):
			}
		}
	}
}

// read waits for entries only while all earlier ones are known, so that an empty log is known to be empty at once.
func (c *Claimer) read(ctx context.Context) (*platformv1.ReadResponse, error) {
	c.mu.Lock()
	from := c.claims.Applied()
	wait := time.Duration(0)
	if c.current {
		wait = readWait
	}
	c.mu.Unlock()
	return c.stream.Read(ctx, from, wait)
}

func (c *Claimer) apply(answer *platformv1.ReadResponse) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claims.Forget(answer.GetOldest())
	if answer.GetNext() < c.claims.Applied() {
		return Unavailable.New("the log of claims went backwards")
	}
	for _, entry := range answer.GetEntries() {
		batch := &peerv1.Claims{}
		if err := proto.Unmarshal(entry.GetData(), batch); err != nil {
			batch = nil
		}
		if err := c.claims.Apply(entry.GetOffset(), batch); err != nil {
			return err
		}
	}
	c.current = c.claims.Applied() >= answer.GetNext()
	close(c.moved)
	c.moved = make(chan struct{})
	return nil
}
