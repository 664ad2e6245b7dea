package operator

import "crypto/rand"

// newNonce returns an identifier for one change. It identifies the change's write
// if the reply to the write is lost.
func newNonce() string { return rand.Text() }
