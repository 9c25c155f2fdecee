package event

import "github.com/sirupsen/logrus"

// The events of connections to peers and of relays.
const (
	PeerConnected ID = 400 + iota
	PeerLost
	RelayJoined
	RelayLost
	RelaySuspected
	RelayResultsDropped
)

var peerEvents = []Definition{
	{PeerConnected, "peer_connected", logrus.InfoLevel, "a connection to a peer is established", []string{"peer"}},
	{PeerLost, "peer_lost", logrus.WarnLevel, "a connection to a peer is lost", []string{"peer", "reason"}},
	{RelayJoined, "relay_joined", logrus.InfoLevel, "the leader has a further relay for its orders to workers", []string{"relay", "address", "data_centre", "cpu_share"}},
	{RelayLost, "relay_lost", logrus.WarnLevel, "a relay is no longer used; its calls without a response have failed", []string{"relay", "reason", "calls"}},
	{RelaySuspected, "relay_suspected", logrus.WarnLevel, "a relay may not have received some orders and gets no others for a while", []string{"relay", "orders", "reason"}},
	{RelayResultsDropped, "relay_results_dropped", logrus.WarnLevel, "the leader that sent orders can't be reached, or another process at its address doesn't take their results in this form", []string{"leader", "results", "reason"}},
}
