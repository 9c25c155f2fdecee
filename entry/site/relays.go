package site

import (
	"context"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/peer"
	"samphirekeel.example/keel/relay"
)

// defaultRelayMinWorkers is the number of workers above which the leader's orders go through relays. Fewer workers cost
// the leader less than a tenth of a core.
const defaultRelayMinWorkers = 150

// relayMethods returns the methods by which entries carry the leader's orders.
func (s *Entry) relayMethods() map[string]peer.Method {
	return map[string]peer.Method{
		relay.MethodOffer:   peer.NewMethod(func(_ context.Context, in relay.Offer) struct{} { return s.handleOffer(in) }),
		relay.MethodOrders:  peer.NewMethod(func(_ context.Context, in relay.Batch) struct{} { s.relayServer.Accept(in); return struct{}{} }),
		relay.MethodResults: peer.NewMethod(func(_ context.Context, in relay.Results) struct{} { s.relayClient.Deliver(in); return struct{}{} }),
		relay.MethodCompactOrders: peer.NewAttachedMethod(func(_ context.Context, in peer.Attachment) error {
			batch, err := relay.DecodeBatch(in)
			if err == nil {
				s.relayServer.Accept(batch)
			}
			return err
		}),
		relay.MethodCompactResults: peer.NewAttachedMethod(func(_ context.Context, in peer.Attachment) error {
			results, err := relay.DecodeResults(in)
			if err == nil {
				s.relayClient.Deliver(results)
			}
			return err
		}),
	}
}

// buildRelays creates both sides of a relay: any entry may lead, and any with enough CPU may carry a leader's orders.
func (s *Entry) buildRelays() error {
	server, err := relay.NewServer()
	if err != nil {
		return err
	}
	server.Log, server.Workers, server.Now = s.Log, s.Workers, s.Now
	server.Reply = func(ctx context.Context, address string, results relay.Results) error {
		if results.Compact {
			return s.node.Call(ctx, address, relay.MethodCompactResults, peer.Attachment(results.Encode()), &struct{}{})
		}
		return s.node.Call(ctx, address, relay.MethodResults, results, &struct{}{})
	}
	s.relayServer = server
	s.relayClient = relay.NewClient()
	s.relayClient.Log, s.relayClient.Direct, s.relayClient.Address, s.relayClient.Now = s.Log, s.Workers, s.peerAddress(), s.Now
	s.relayClient.Send = func(ctx context.Context, address string, batch relay.Batch) error {
		if batch.Compact {
			return s.node.Call(ctx, address, relay.MethodCompactOrders, peer.Attachment(batch.Encode()), &struct{}{})
		}
		return s.node.Call(ctx, address, relay.MethodOrders, batch, &struct{}{})
	}
	return nil
}

// updateRelays determines whether this entry needs relays, and offers it to the leader as one. It is called on the loop.
func (s *Entry) updateRelays() {
	s.relaysNeeded.Store(s.scheduler != nil && s.scheduler.MaxWorkers() >= s.RelayMinWorkers)
	s.offerRelay()
}

// offerRelay offers this entry to the leader as a relay, unless it leads itself or has too little CPU.
func (s *Entry) offerRelay() {
	record := s.lease.Leader()
	if record.Holder == "" || record.Holder == s.Settings.Name || s.Settings.Limits.CPUShare < weakCPUShare || s.stopping.Load() {
		return
	}
	offer := relay.Offer{
		Name: s.Settings.Name, Address: s.peerAddress(), DataCentre: s.Settings.DataCentre, CPUShare: s.Settings.Limits.CPUShare,
		ClockMillis: s.Now().Milliseconds(), Compact: true,
	}
	control.Call(s.loop, peerTimeout, func(ctx context.Context) (struct{}, error) {
		// Without a response, the next offer follows soon.
		return struct{}{}, s.node.Call(ctx, record.Address, relay.MethodOffer, offer, &struct{}{})
	}, func(struct{}, error) {})
}

// handleOffer uses the relay if this entry leads and may have many workers. It doesn't wait for the control loop, since a
// busy leader must not lose its relays.
func (s *Entry) handleOffer(offer relay.Offer) struct{} {
	s.advisers.record(offer.Address, s.Now())
	if s.relaysNeeded.Load() {
		s.relayClient.Accept(offer)
	}
	return struct{}{}
}
