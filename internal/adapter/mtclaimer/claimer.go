// Claims are appended in batches, at most one per instance and period, because the log accepts only several hundred
// appends a second from the whole system. A call waits until its own claim is read back:
//
//	call -> pending batch -> append -> read back -> first claim of the key -> dispatch, or ask the claiming instance
//
// The result of the append is not needed, because only the claims read from the log count. A call that stops waiting is
// never dispatched, so its caller can be sent a refusal with the outcome "not run", whatever the log contains
// later.

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
	// appendTimeout bounds an append, and how long a call waits until its claim is read back.
	appendTimeout = 2 * time.Second
	// maxReadWait bounds how long a read waits for the first entry.
	maxReadWait = 2 * time.Second
	retryDelay  = 500 * time.Millisecond
	// maxBatchClaims bounds the claims of one append.
	maxBatchClaims = 500
)

var (
	namespace = errorx.NewNamespace("claimer")
	// Unavailable is the type of the error for a claim that can't be made or read back; the call is not dispatched.
	Unavailable = namespace.NewType("unavailable")
	// Full is the type of the error for a full table of claims or a full batch; the call is not dispatched.
	Full = namespace.NewType("full")
)

// claimLog is the stream of claims in the platform's log.
type claimLog interface {
	Append(ctx context.Context, message proto.Message) (uint64, error)
	Read(ctx context.Context, from uint64, wait time.Duration) (*platformv1.ReadResponse, error)
}

// Claimer claims keys for one incarnation of an instance; it is safe for concurrent use.
type Claimer struct {
	log         claimLog
	instance    string
	incarnation uint64
	maxKeys     int
	mu          sync.Mutex
	claims      *mtclaims.Claims
	pending     []*peerv1.Claim
	// applied is closed and replaced each time that a read is applied.
	applied chan struct{}
	// current is set while all entries of the log are applied and the log can be read and appended to.
	current bool
}

// NewClaimer returns a claimer whose table has at most maxKeys keys.
func NewClaimer(log claimLog, instance string, incarnation uint64, maxKeys int) *Claimer {
	return &Claimer{
		log:         log,
		instance:    instance,
		incarnation: incarnation,
		maxKeys:     maxKeys,
		claims:      mtclaims.NewClaims(),
		applied:     make(chan struct{}),
	}
}

// Claim claims a key and returns the first claim of the key in the log; isOwn is set if this call made that claim.
func (c *Claimer) Claim(
	ctx context.Context, team, key string, digest []byte,
) (first *peerv1.Claim, isOwn bool, err error) {
	claim := &peerv1.Claim{
		Id:          rand.Uint64(),
		Team:        team,
		Key:         key,
		Digest:      digest,
		Instance:    c.instance,
		Incarnation: c.incarnation,
	}
	if first, err = c.enqueue(claim); first != nil || err != nil {
		return first, false, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	for {
		applied, first := c.lookup(team, key)
		if first != nil {
			return first, isSame(first, claim), nil
		}
		select {
		case <-applied:
		case <-waitCtx.Done():
			return nil, false, Unavailable.New("the claim of the key could not be read back from the log")
		}
	}
}

// isSame reports whether two claims were made by the same call.
func isSame(a, b *peerv1.Claim) bool {
	return a.GetId() == b.GetId() && a.GetIncarnation() == b.GetIncarnation() &&
		bytes.Equal(a.GetDigest(), b.GetDigest())
}

// enqueue adds a claim to the next batch, or returns the first claim of the key if the key is already claimed.
func (c *Claimer) enqueue(claim *peerv1.Claim) (*peerv1.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first := c.claims.FirstClaim(claim.GetTeam(), claim.GetKey()); first != nil {
		return first, nil
	}
	if !c.current {
		return nil, Unavailable.New("the log of claims can't be read at present")
	}
	if c.claims.Len() >= c.maxKeys || len(c.pending) >= maxBatchClaims {
		return nil, Full.New("%d keys are claimed and %d wait, the table is full", c.claims.Len(), len(c.pending))
	}
	c.pending = append(c.pending, claim)
	return nil, nil
}

// lookup returns the first claim of a key, or nil, and a channel that is closed when the next read is applied.
func (c *Claimer) lookup(team, key string) (<-chan struct{}, *peerv1.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applied, c.claims.FirstClaim(team, key)
}

// Flush appends the pending claims in one batch; it is called once per period, which bounds the rate of appends.
//
// A batch whose append fails is not appended again. It may still be in the log, and then its claims are read back.
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
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.log.Append(appendCtx, batch); err != nil {
		c.setCurrent(false)
	}
}

func (c *Claimer) setCurrent(current bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = current
}

// Run reads and applies the claims of the log until the context ends.
func (c *Claimer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		response, err := c.read(ctx)
		if err == nil {
			err = c.apply(response)
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

// read reads the entries that follow the applied ones. It waits for entries only while the claimer is current, so that
// the end of the log is detected without delay, also in an empty log.
func (c *Claimer) read(ctx context.Context) (*platformv1.ReadResponse, error) {
	c.mu.Lock()
	from := c.claims.NextOffset()
	wait := time.Duration(0)
	if c.current {
		wait = maxReadWait
	}
	c.mu.Unlock()
	return c.log.Read(ctx, from, wait)
}

// apply applies the entries of a read and drops the claims that the log no longer has.
func (c *Claimer) apply(response *platformv1.ReadResponse) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claims.ForgetBefore(response.GetOldest())
	if response.GetNext() < c.claims.NextOffset() {
		return Unavailable.New("the log of claims ends before the applied offset")
	}
	for _, entry := range response.GetEntries() {
		batch := &peerv1.Claims{}
		if err := proto.Unmarshal(entry.GetData(), batch); err != nil {
			batch = nil
		}
		if err := c.claims.Apply(entry.GetOffset(), batch); err != nil {
			return err
		}
	}
	c.current = c.claims.NextOffset() >= response.GetNext()
	close(c.applied)
	c.applied = make(chan struct{})
	return nil
}
