package mtgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/core/mtnews"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// wholeTimeout bounds the read of a whole feed from a peer, and wholeGap the time between two such reads.
	wholeTimeout = time.Second
	wholeGap     = 150 * time.Millisecond
	// relayLimit is the number of bytes of changes that are sent by datagram.
	relayLimit = 6 << 10
	// spreadLimit is the size up to which one instance sends changes to all.
	spreadLimit = 1200
)

// relay sends the changes that this instance has read to the others.
//
// Small changes go to all at once. Larger ones go to a few, each of which passes them on, so that no link is the narrow place.
// What does not fit into a datagram is asked for over HTTP by those whom a row shows that they are behind.
func (g *Gateway) relay(batch mtnews.Batch, age time.Duration, now time.Time) {
	changes := toChanges(batch, age)
	size := proto.Size(changes)
	if size > spreadLimit {
		changes = packed(changes)
		size = proto.Size(changes)
	}
	switch {
	case batch.Whole || size > relayLimit:
		g.mesh.Beat(now)
	case size > spreadLimit:
		g.mesh.Spread(changes, now)
	default:
		g.mesh.Relay(changes, now)
	}
}

func toChanges(batch mtnews.Batch, age time.Duration) *peerv1.Changes {
	changes := &peerv1.Changes{
		Feed:  uint32(batch.Feed),
		From:  batch.From,
		To:    batch.To,
		Whole: batch.Whole,
		Age:   uint64(max(0, age.Milliseconds())),
	}
	for _, change := range batch.Changes {
		changes.Changes = append(changes.Changes, &peerv1.Change{
			Key:   change.Key,
			Value: change.Value,
			Gone:  change.Gone,
		})
	}
	return changes
}

// Changed takes in changes that a peer has sent, and passes larger ones on.
func (g *Gateway) Changed(received *peerv1.Changes, now time.Time) {
	if g.takeChanges(received, now) && len(received.GetPacked()) > 0 && !received.GetWhole() {
		g.mesh.Spread(received, now)
	}
}

// takeChanges brings changes of a peer into force and reports whether they were new.
func (g *Gateway) takeChanges(received *peerv1.Changes, now time.Time) bool {
	changes, err := unpacked(received)
	f := g.feedOf(received.GetFeed())
	if f == nil || err != nil {
		g.logger.WithError(err).Debug("changes of a peer can't be read")
		return false
	}
	batch := mtnews.Batch{
		Feed:  f.number,
		From:  changes.GetFrom(),
		To:    changes.GetTo(),
		Whole: changes.GetWhole(),
	}
	for _, change := range changes.GetChanges() {
		batch.Changes = append(batch.Changes, mtnews.Change{
			Key:   change.GetKey(),
			Value: change.GetValue(),
			Gone:  change.GetGone(),
		})
	}
	age := time.Duration(changes.GetAge()) * time.Millisecond
	g.applying.Lock()
	defer g.applying.Unlock()
	g.news.mu.Lock()
	accepted := f.follower.Accepts(batch)
	if accepted {
		f.follower.Took(batch, age, now)
		f.merge(batch)
	}
	g.news.mu.Unlock()
	if accepted {
		g.apply(batch, "peer", age, now)
	}
	if marks := changes.GetMarks(); len(marks) > 0 {
		g.Marked(marks, now)
	}
	return accepted
}

// Heard takes in how far another instance has followed the feeds, and asks it for what is missing here.
func (g *Gateway) Heard(row *peerv1.Row, now time.Time) {
	for number, standing := range row.GetStandings() {
		f := g.feedOf(uint32(number))
		if f == nil || !standing.GetKnown() {
			continue
		}
		if !g.knows(f) && standing.GetOffset() == 0 {
			// The first start of a deployment: the peer has read the feed, which has no records yet.
			g.takeChanges(&peerv1.Changes{
				Feed:  uint32(f.number),
				Whole: true,
				Age:   standing.GetAge(),
			}, now)
		}
		g.news.mu.Lock()
		behind := f.follower.Heard(standing.GetOffset(), time.Duration(standing.GetAge())*time.Millisecond, now)
		_, known := f.follower.Offset()
		asks := behind && !f.asking
		f.asking = f.asking || asks
		g.news.mu.Unlock()
		if asks {
			go g.askWhole(f, standing.GetOffset(), row.GetMesh(), known)
		}
	}
	g.news.mu.Lock()
	flags := rowFlags{
		incarnation: row.GetIncarnation(),
		ready:       row.GetReady(),
		leaving:     row.GetLeaving(),
		cut:         row.GetCut(),
		strained:    row.GetStrained(),
	}
	changed := g.news.flags[row.GetInstance()] != flags
	g.news.flags[row.GetInstance()] = flags
	g.news.mu.Unlock()
	if changed {
		g.noticed()
	}
}

// knows reports whether a feed was read, or heard of from a peer that has read it.
func (g *Gateway) knows(f *feed) bool {
	g.news.mu.Lock()
	defer g.news.mu.Unlock()
	_, known := f.follower.Offset()
	return known
}

// askWhole reads all of a feed from a peer that has reached an offset.
//
// An instance that knows an older state waits a moment first, because the changes may be on their way. It takes any peer that
// has them, because the one that has read them would be asked by all.
func (g *Gateway) askWhole(f *feed, offset uint64, address string, known bool) {
	defer func() {
		g.news.mu.Lock()
		defer g.news.mu.Unlock()
		f.asking = false
	}()
	from := uint64(0)
	if known {
		time.Sleep(wholeGap/2 + rand.N(wholeGap))
		g.news.mu.Lock()
		from, _ = f.follower.Offset()
		g.news.mu.Unlock()
		if from >= offset {
			return
		}
	}
	address = g.holder(f.number, offset, address)
	ctx, cancel := context.WithTimeout(context.Background(), wholeTimeout)
	defer cancel()
	client := peerv1.NewMeshServiceProtobufClient("http://"+address, g.peers)
	changes, err := client.Whole(ctx, &peerv1.WholeRequest{
		Feed: uint32(f.number),
		From: from,
	})
	if err != nil {
		g.logger.WithField("peer", address).WithError(err).Debug("feed not read from peer")
		return
	}
	g.takeChanges(changes, time.Now())
}

// holder draws the mesh address of an instance that has reached an offset of a feed.
func (g *Gateway) holder(number mtnews.Feed, offset uint64, fallback string) string {
	var addresses []string
	for _, standing := range g.mesh.Standings(time.Now()) {
		standings := standing.Row.GetStandings()
		isOther := standing.Row.GetInstance() != g.settings().Instance
		if isOther && int(number) < len(standings) && standings[number].GetOffset() >= offset {
			addresses = append(addresses, standing.Row.GetMesh())
		}
	}
	if len(addresses) == 0 {
		return fallback
	}
	return addresses[rand.IntN(len(addresses))]
}

// Whole returns what the caller misses of a feed: the changes since its offset, or all that is known.
func (g *Gateway) Whole(_ context.Context, request *peerv1.WholeRequest) (*peerv1.Changes, error) {
	changes := &peerv1.Changes{
		Feed:  request.GetFeed(),
		Whole: true,
	}
	if mtnews.Feed(request.GetFeed()) == mtnews.Endpoints {
		changes.Marks = g.Marks(time.Now())
	}
	f := g.feedOf(request.GetFeed())
	if f == nil {
		return nil, twirp.InvalidArgumentError("feed", "expected the number of a feed")
	}
	g.news.mu.Lock()
	defer g.news.mu.Unlock()
	offset, known := f.follower.Offset()
	if !known {
		return nil, twirp.NotFoundError("the feed has not been read yet")
	}
	if since, found := f.recent.since(request.GetFrom()); found && request.GetFrom() > 0 {
		age := f.follower.Age(time.Now())
		return packed(toChanges(mtnews.Batch{
			Feed:    f.number,
			From:    request.GetFrom(),
			To:      offset,
			Changes: since,
		}, age)), nil
	}
	changes.To = offset
	changes.Age = uint64(max(0, f.follower.Age(time.Now()).Milliseconds()))
	for key, value := range f.values {
		changes.Changes = append(changes.Changes, &peerv1.Change{
			Key:   key,
			Value: value,
		})
	}
	return packed(changes), nil
}

// peersHandler serves the other instances.
func (g *Gateway) peersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1.MeshServicePathPrefix, peerv1.NewMeshServiceServer(g))
	return mux
}
