package platform

import "github.com/google/uuid"

// NewToken returns a unique token for a transaction.
func NewToken() string { return uuid.NewString() }
