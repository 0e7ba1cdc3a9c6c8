package mtgateway

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/core/mtreplication"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// peerReadTimeout bounds the read of a feed from a peer. meanPeerReadDelay is the mean of the random delay before
	// such a read.
	peerReadTimeout   = time.Second
	meanPeerReadDelay = 150 * time.Millisecond
	// maxDatagramChangesBytes bounds the changes that are sent by datagram.
	maxDatagramChangesBytes = 6 << 10
	// maxBroadcastBytes is the size up to which one instance sends changes to all others.
	maxBroadcastBytes = 1200
)

// propagateChanges sends the changes that this instance has read to the other instances, as pieces of the records before
// them where that is shorter; before has these by key.
//
// Small changes go to all instances at once. Larger ones go to a few, each of which forwards them, so that no single
// link becomes the bottleneck. Instances that learn from a row that they are behind read changes that exceed a datagram
// over HTTP.
func (g *Gateway) propagateChanges(batch mtreplication.Batch, before map[string][]byte, age time.Duration, now time.Time) {
	changes := newChangesMessage(batch, age)
	divideChanges(changes, before)
	size := proto.Size(changes)
	if size > maxBroadcastBytes {
		changes = compressChanges(changes)
		size = proto.Size(changes)
	}
	switch {
	case batch.Snapshot || size > maxDatagramChangesBytes:
		g.mesh.SendHeartbeat(now)
	case size > maxBroadcastBytes:
		g.mesh.GossipChanges(changes, now)
	default:
		g.mesh.BroadcastChanges(changes, now)
	}
}

func newChangesMessage(batch mtreplication.Batch, age time.Duration) *peerv1.Changes {
	changes := &peerv1.Changes{
		Feed:  uint32(batch.Feed),
		Era:   batch.Era,
		From:  batch.From,
		To:    batch.To,
		Whole: batch.Snapshot,
		Age:   ageForPeers(age),
	}
	for _, change := range batch.Changes {
		changes.Changes = append(changes.Changes, &peerv1.Change{
			Key:   change.Key,
			Value: change.Value,
			Gone:  change.Deleted,
			Lost:  change.Lost,
			Era:   change.Era,
		})
	}
	return changes
}

// HandleChanges applies changes that a peer has sent, and forwards larger ones.
func (g *Gateway) HandleChanges(received *peerv1.Changes, now time.Time) {
	if g.applyPeerChanges(received, now) && len(received.GetPacked()) > 0 && !received.GetWhole() {
		g.mesh.GossipChanges(received, now)
	}
}

// applyPeerChanges brings the changes of a peer into force and reports whether they were new.
func (g *Gateway) applyPeerChanges(received *peerv1.Changes, now time.Time) bool {
	changes, err := decompressChanges(received)
	f := g.feedByNumber(received.GetFeed())
	if f == nil {
		g.logger.WithField("feed", received.GetFeed()).Debug("unknown feed in changes from a peer; ignoring them")
		return false
	}
	if err != nil {
		g.logger.WithError(err).Debug("could not decode changes from a peer; ignoring them")
		return false
	}
	batch := mtreplication.Batch{
		Feed:     f.number,
		Era:      changes.GetEra(),
		From:     changes.GetFrom(),
		To:       changes.GetTo(),
		Snapshot: changes.GetWhole(),
	}
	// The notices go first, because an endpoint that has left may be listed in the changes.
	if notices := changes.GetMarks(); len(notices) > 0 {
		g.ApplyEndpointNotices(notices, now)
	}
	g.ApplySuspects(changes.GetSuspects(), now)
	age := g.ageFromPeer(changes.GetAge(), now)
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	g.feeds.mu.Lock()
	accepted := f.follower.Accepts(batch)
	if accepted {
		if err := restoreChanges(changes, f.values); err != nil {
			g.feeds.mu.Unlock()
			g.logger.WithError(err).Debug("could not restore changes from a peer; ignoring them")
			return false
		}
	}
	batch.Changes = changesOf(changes)
	if accepted {
		f.follower.BatchApplied(batch, age, now)
		f.merge(batch)
	}
	g.feeds.mu.Unlock()
	if accepted {
		g.applyBatch(batch, "peer", age, now)
		// The endpoints must be known before their limits.
		g.ApplyEndpointLimits(changes.GetLimits(), now)
	} else if f.number == mtreplication.ConfigurationFeed {
		// A record in force that the store has lost belongs to no position of the feed.
		batch.Changes = slices.DeleteFunc(batch.Changes, func(change mtreplication.Change) bool {
			return !change.Lost
		})
		batch.Snapshot = false
		g.applyBatch(batch, "peer", age, now)
	}
	return accepted
}

// ageFromPeer returns the age of data that a peer has sent, with the time that the message may have waited here.
func (g *Gateway) ageFromPeer(milliseconds uint64, now time.Time) time.Duration {
	return time.Duration(min(milliseconds, math.MaxInt32))*time.Millisecond + g.pauseWatch.messageDelay(now)
}

// changesOf returns the changes in a message.
func changesOf(message *peerv1.Changes) []mtreplication.Change {
	changes := make([]mtreplication.Change, 0, len(message.GetChanges()))
	for _, change := range message.GetChanges() {
		changes = append(changes, mtreplication.Change{
			Key:     change.GetKey(),
			Value:   change.GetValue(),
			Deleted: change.GetGone(),
			Lost:    change.GetLost(),
			Era:     change.GetEra(),
		})
	}
	return changes
}

// HandleRow records the feed offsets and role flags of another instance, and fetches changes that are missing here.
func (g *Gateway) HandleRow(row *peerv1.Row, now time.Time) {
	if failed := row.GetFailed(); failed > 0 {
		sent := now.Add(-time.Duration(min(failed, math.MaxInt32)) * time.Millisecond)
		g.feeds.mu.Lock()
		g.feeds.byNumber[mtreplication.EndpointFeed].follower.ObservePeerFailedRead(sent)
		g.feeds.mu.Unlock()
	}
	for number, standing := range row.GetStandings() {
		f := g.feedByNumber(uint32(number))
		if f == nil || !standing.GetKnown() {
			continue
		}
		if !g.hasOffset(f) && standing.GetOffset() == 0 {
			// The first start of a deployment: the peer has read the feed, which has no records yet.
			g.applyPeerChanges(&peerv1.Changes{
				Feed:  uint32(f.number),
				Era:   standing.GetEra(),
				Whole: true,
				Age:   standing.GetAge(),
			}, now)
		}
		position := positionOf(standing)
		g.feeds.mu.Lock()
		behind := f.follower.ObservePeerPosition(position, g.ageFromPeer(standing.GetAge(), now), now)
		_, known := f.follower.Position()
		if !behind && f.number == mtreplication.ConfigurationFeed && row.GetVersion() > g.versionInForce() {
			// The store has lost the configuration that the peer has in force.
			behind, known = true, false
		}
		startFetch := behind && !f.fetching
		f.fetching = f.fetching || startFetch
		g.feeds.mu.Unlock()
		if startFetch {
			go g.fetchFeed(f, position, row.GetMesh(), known)
		} else if f.number == mtreplication.ConfigurationFeed && row.GetReady() {
			g.readLostRecords(f, row)
		}
	}
	g.announcedVersion.raise(row.GetVersion(), now)
	g.feeds.mu.Lock()
	flags := rowRoleFlags{
		incarnation:      row.GetIncarnation(),
		ready:            row.GetReady(),
		leaving:          row.GetLeaving(),
		storeUnreachable: row.GetCut(),
		lacksCPU:         row.GetStrained(),
		lostServices:     len(row.GetLost()),
	}
	previous := g.feeds.peerFlags[row.GetInstance()]
	changed := previous != flags
	g.feeds.peerFlags[row.GetInstance()] = flags
	g.feeds.mu.Unlock()
	if changed {
		g.wakeRoleSelection()
	}
	if flags.lostServices > previous.lostServices {
		g.checkLostServices(row.GetLost(), now)
	}
}

// hasOffset reports whether a feed was read, here or by a peer that has sent its offset.
func (g *Gateway) hasOffset(f *feed) bool {
	g.feeds.mu.Lock()
	defer g.feeds.mu.Unlock()
	_, known := f.follower.Position()
	return known
}

// positionOf returns the position of an instance in a feed.
func positionOf(standing *peerv1.Standing) mtreplication.Position {
	return mtreplication.Position{
		Era:    standing.GetEra(),
		Offset: standing.GetOffset(),
	}
}

// fetchFeed reads a feed from a peer that has reached a position.
//
// An instance that already has an older state waits first, because the changes may be on their way. It chooses a random
// peer that has them, because otherwise all instances would ask the one that read the store.
func (g *Gateway) fetchFeed(f *feed, position mtreplication.Position, address string, hasOlderState bool) {
	defer func() {
		g.feeds.mu.Lock()
		defer g.feeds.mu.Unlock()
		f.fetching = false
	}()
	from := mtreplication.Position{}
	if hasOlderState {
		time.Sleep(meanPeerReadDelay/2 + rand.N(meanPeerReadDelay))
		g.feeds.mu.Lock()
		from, _ = f.follower.Position()
		g.feeds.mu.Unlock()
		if from.Compare(position) >= 0 {
			return
		}
	}
	address = g.randomPeerAtPosition(f.number, position, address)
	ctx, cancel := context.WithTimeout(context.Background(), peerReadTimeout)
	defer cancel()
	client := peerv1.NewMeshServiceProtobufClient("http://"+address, g.peerClient)
	request := &peerv1.WholeRequest{
		Feed: uint32(f.number),
		Era:  from.Era,
		From: from.Offset,
	}
	g.feeds.mu.Lock()
	request.Bases = f.baseDigests()
	g.feeds.mu.Unlock()
	for {
		sentAt := time.Now()
		changes, err := client.Whole(ctx, request)
		if err != nil {
			g.logger.WithField("peer", address).WithError(err).Debug("could not read feed from peer")
			return
		}
		changes.Age += uint64(time.Since(sentAt).Milliseconds())
		if g.applyPeerChanges(changes, time.Now()) || !changes.GetDiffers() {
			return
		}
		// The records here have changed meanwhile.
		request.Bases = nil
	}
}

// randomPeerAtPosition returns the mesh address of a random instance that has reached a position in a feed, or fallback.
func (g *Gateway) randomPeerAtPosition(
	number mtreplication.Feed, position mtreplication.Position, fallback string,
) string {
	var addresses []string
	for _, instance := range g.mesh.Instances(time.Now()) {
		standings := instance.Row.GetStandings()
		isPeer := instance.Row.GetInstance() != g.settings().Instance
		if isPeer && int(number) < len(standings) && positionOf(standings[number]).Compare(position) >= 0 {
			addresses = append(addresses, instance.Row.GetMesh())
		}
	}
	if len(addresses) == 0 {
		return fallback
	}
	return addresses[rand.IntN(len(addresses))]
}

// Whole returns the part of a feed that the caller is missing: the changes since its offset, or all values.
func (g *Gateway) Whole(_ context.Context, request *peerv1.WholeRequest) (*peerv1.Changes, error) {
	changes := &peerv1.Changes{
		Feed:  request.GetFeed(),
		Whole: true,
	}
	if mtreplication.Feed(request.GetFeed()) == mtreplication.EndpointFeed {
		changes.Marks = g.endpointNotices(math.MaxInt, time.Now())
		changes.Limits = g.endpointLimits(math.MaxInt, time.Now())
		changes.Suspects = g.suspects(g.suspectFingerprints(), time.Now())
	}
	f := g.feedByNumber(request.GetFeed())
	evacuations := g.evacuationsInForce()
	if f == nil {
		return nil, twirp.InvalidArgumentError("feed", "expected the number of a feed")
	}
	g.feeds.mu.Lock()
	position, known := f.follower.Position()
	age := f.follower.Age(time.Now())
	recentChanges, found := f.history.since(request.GetFrom())
	values, earlier := maps.Clone(f.values), f.earlier
	g.feeds.mu.Unlock()
	if !known {
		return nil, twirp.NotFoundError("the feed has not been read yet")
	}
	isConfiguration := f.number == mtreplication.ConfigurationFeed
	if isConfiguration && request.GetFrom() >= position.Offset && request.GetFrom() > 0 && request.GetEra() == position.Era &&
		len(request.GetBases()) == 0 {
		// The caller has all records of the store, and asks for those that the store has lost.
		return newLostRecordsMessage(f, position, evacuations), nil
	}
	if found && request.GetFrom() > 0 && request.GetEra() == position.Era && len(request.GetBases()) == 0 {
		message := newChangesMessage(mtreplication.Batch{
			Feed:    f.number,
			Era:     position.Era,
			From:    request.GetFrom(),
			To:      position.Offset,
			Changes: recentChanges,
		}, age)
		if isConfiguration {
			message.Changes = append(message.Changes, lostEvacuations(evacuations, position.Era)...)
		}
		return compressChanges(message), nil
	}
	changes.Era = position.Era
	changes.To = position.Offset
	changes.Age = ageForPeers(age)
	if isConfiguration {
		changes.Changes = append(changes.Changes, lostEvacuations(evacuations, position.Era)...)
	}
	if lost := g.lostConfiguration(position.Era, values); lost != nil && f.number == mtreplication.ConfigurationFeed {
		changes.Changes = append(changes.Changes, lost)
	}
	for key, value := range values {
		change := &peerv1.Change{
			Key:   key,
			Value: value,
		}
		changes.Differs = earlier.divideFor(change, request.GetBases()) || changes.Differs
		changes.Changes = append(changes.Changes, change)
	}
	return compressChanges(changes), nil
}

// peerHandler serves requests of the other instances.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1.MeshServicePathPrefix, peerv1.NewMeshServiceServer(g))
	return mux
}
