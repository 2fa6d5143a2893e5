package wire

import (
	"net"
	"sync/atomic"
)

// Reach tells how far a peer is away, which decides what a byte to it costs.
type Reach uint8

// The reaches, from near to far. ReachUnknown is that of peers that state no zone.
const (
	ReachUnknown Reach = iota
	ReachZone
	ReachRegion
	ReachRemote
	reachCount
)

// String returns the reach as a metric label.
func (r Reach) String() string {
	return [reachCount]string{"unknown", "same_zone", "other_zone", "other_region"}[r]
}

// Traffic counts the bytes and messages of connections. TCP and IP headers are not
// counted.
type Traffic struct {
	// ReachOf returns the reach of a peer in a zone; nil counts all as unknown.
	ReachOf func(zone string) Reach

	sent     atomic.Uint64
	received atomic.Uint64
	kinds    [reachCount][lastType + 1]kindCounters
}

// kindCounters counts the messages of one type to and from peers of one reach.
type kindCounters struct{ messagesSent, bytesSent, messagesReceived, bytesReceived atomic.Uint64 }

// KindTraffic is the traffic of messages of one type with peers of one reach.
type KindTraffic struct {
	Type                           Type
	Reach                          Reach
	MessagesSent, MessagesReceived uint64
	BytesSent, BytesReceived       uint64
}

// Sent returns the number of bytes written, handshakes included.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the number of bytes read, handshakes included.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// Kinds returns the traffic of each type and reach that has any, frames only.
func (t *Traffic) Kinds() []KindTraffic {
	var out []KindTraffic
	for reach := range t.kinds {
		for messageType := range t.kinds[reach] {
			k := &t.kinds[reach][messageType]
			entry := KindTraffic{
				Type: Type(messageType), Reach: Reach(reach),
				MessagesSent: k.messagesSent.Load(), MessagesReceived: k.messagesReceived.Load(),
				BytesSent: k.bytesSent.Load(), BytesReceived: k.bytesReceived.Load(),
			}
			if entry.MessagesSent+entry.MessagesReceived > 0 {
				out = append(out, entry)
			}
		}
	}
	return out
}

// reach returns the reach of a peer.
func (t *Traffic) reach(p Peer) Reach {
	if t == nil || t.ReachOf == nil || p.Zone == "" {
		return ReachUnknown
	}
	return t.ReachOf(p.Zone)
}

func (t *Traffic) countSent(r Reach, messageType Type, bytes int) {
	if t == nil {
		return
	}
	k := &t.kinds[r][messageType]
	k.messagesSent.Add(1)
	k.bytesSent.Add(uint64(bytes))
}

func (t *Traffic) countReceived(r Reach, f frame) {
	if t == nil {
		return
	}
	k := &t.kinds[r][f.messageType]
	k.messagesReceived.Add(1)
	k.bytesReceived.Add(uint64(lengthBytes + minFrameLength + len(f.body)))
}

// count wraps conn to count its bytes; a nil Traffic returns conn unchanged.
func (t *Traffic) count(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return &countedConn{Conn: conn, traffic: t}
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
