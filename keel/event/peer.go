package event

import "github.com/sirupsen/logrus"

// The events of connections to peers.
const (
	PeerConnected ID = 400 + iota
	PeerLost
)

var peerEvents = []Definition{
	{PeerConnected, "peer_connected", logrus.InfoLevel, "a connection to a peer is established", []string{"peer"}},
	{PeerLost, "peer_lost", logrus.WarnLevel, "a connection to a peer is lost", []string{"peer", "reason"}},
}
