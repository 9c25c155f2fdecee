package event

import "github.com/sirupsen/logrus"

// The events of claims and sequences.
const (
	ClaimTaken ID = 300 + iota
	ClaimAnswered
	ClaimRefused
	ClaimSettled
	SequenceTurn
	ClaimsRemoved
)

var claimEvents = []Definition{
	{ClaimTaken, "claim_taken", logrus.InfoLevel, "an idempotency key is claimed before its request is sent", []string{"request", "key"}},
	{ClaimAnswered, "claim_answered", logrus.InfoLevel, "a repeated request gets the response of the earlier one, from the claim's row, its holder or memory", []string{"request", "key", "source"}},
	{ClaimRefused, "claim_refused", logrus.InfoLevel, "a request is not sent because of its idempotency key or because no claim can be made", []string{"request", "key", "kind", "outcome"}},
	{ClaimSettled, "claim_settled", logrus.InfoLevel, "a claimed request has finished and its outcome is being recorded", []string{"request", "key", "outcome"}},
	{SequenceTurn, "sequence_turn", logrus.InfoLevel, "a request of a sequence no longer has to wait for the one before it", []string{"request", "sequence", "number", "waited_ms"}},
	{ClaimsRemoved, "claims_removed", logrus.InfoLevel, "claims whose retention has passed are removed", []string{"service", "claims"}},
}
