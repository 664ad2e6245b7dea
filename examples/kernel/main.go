// Command kernel runs three kernels in one process, in virtual time. An operator
// writes a profile through one of them, and the command prints when it is in
// force on all. The platform goes down immediately after the write.
//
// # Usage
//
//	go run ./examples/kernel
package main

import (
	"fmt"
	"time"

	"ibislift/core/kernel"
	"ibislift/standin/fleet"
)

func main() {
	daemons := fleet.New(1)
	for _, name := range []string{"one", "two", "three"} {
		daemons.Add(kernel.Settings{Self: name, Region: "east", DataCentre: "e1", PeerAddress: name, FirstPeers: []string{"one"}})
	}
	daemons.Run(5 * time.Second)

	key := kernel.Key{Kind: kernel.KindProfile, Name: "fast"}
	requestedAt := daemons.Now
	daemons.Deliver("two", kernel.ChangeRequested{Token: 1, Nonce: "example", Key: key, Spec: []byte(`{"queueBound": 8}`), Author: "you"})
	daemons.RunUntil(time.Second, func() bool { return len(daemons.Nodes["two"].ChangeResults) > 0 })
	fmt.Println("accepted after", daemons.Now.Sub(requestedAt))
	daemons.Platform.Down = true

	daemons.RunUntil(4*time.Second, func() bool {
		for _, node := range daemons.Nodes {
			if _, known := node.View.Config(key); !known {
				return false
			}
		}
		return true
	})
	fmt.Println("in force everywhere after", daemons.Now.Sub(requestedAt))
}
