package mtmesh

import (
	"net"
	"sync"
)

// Kind is the kind of a message, by which the bytes sent are counted.
type Kind string

// The kinds of messages.
const (
	// KindGossip is a message of a gossip round: rows, heartbeats and statements of endpoints.
	KindGossip Kind = "gossip"
	// KindRow is the own row of an instance with a role, which goes to all others.
	KindRow Kind = "row"
	// KindChanges is a change of a feed.
	KindChanges Kind = "changes"
	// KindSuspects is evidence about requests under which endpoints have crashed.
	KindSuspects Kind = "suspects"
	// KindWarmUps tells which endpoints are cold or warm.
	KindWarmUps Kind = "warmups"
	// KindQuota is a report or a grant of shares of quotas.
	KindQuota Kind = "quota"
)

// Kinds returns all kinds of messages.
func Kinds() []Kind {
	return []Kind{KindGossip, KindRow, KindChanges, KindSuspects, KindWarmUps, KindQuota}
}

// destination is the address of another instance.
type destination struct {
	address  *net.UDPAddr
	isRemote bool
}

// IsRemote reports whether the instance is in another data centre.
func (d destination) IsRemote() bool {
	return d.isRemote
}

// trafficKey is a kind of message with the place that it was sent to.
type trafficKey struct {
	kind     Kind
	isRemote bool
}

// datagramOverheadBytes is the size of the headers of IPv4 and UDP.
const datagramOverheadBytes = 28

// sentTraffic counts the bytes sent; its mutex is a leaf.
type sentTraffic struct {
	mu    sync.Mutex
	bytes map[trafficKey]int64
}

func (t *sentTraffic) add(key trafficKey, messageBytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytes == nil {
		t.bytes = map[trafficKey]int64{}
	}
	t.bytes[key] += int64(messageBytes + datagramOverheadBytes)
}

// SentBytes returns the number of bytes of one kind of message sent to instances in this data centre or in others.
func (m *Mesh) SentBytes(kind Kind, isRemote bool) int64 {
	m.traffic.mu.Lock()
	defer m.traffic.mu.Unlock()
	return m.traffic.bytes[trafficKey{
		kind:     kind,
		isRemote: isRemote,
	}]
}
