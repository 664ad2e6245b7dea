package operator

import "crypto/rand"

// newNonce names one change, so that its write is recognised when the answer
// to it is lost.
func newNonce() string { return rand.Text() }
