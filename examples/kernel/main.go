// Command kernel joins three kernels in one process, in virtual time, lets an
// operator write a profile through one of them and shows when it is in force on
// the others. The platform goes down right after the write.
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
	joined := fleet.New(1)
	for _, name := range []string{"one", "two", "three"} {
		joined.Add(kernel.Settings{Self: name, Region: "east", DataCentre: "e1", PeerAddress: name, FirstPeers: []string{"one"}})
	}
	joined.Run(5 * time.Second)

	key := kernel.Key{Kind: kernel.KindProfile, Name: "fast"}
	asked := joined.Now
	joined.Tell("two", kernel.ChangeAsked{Token: 1, Nonce: "example", Key: key, Spec: []byte(`{"queueBound": 8}`), Author: "you"})
	joined.RunUntil(time.Second, func() bool { return len(joined.Nodes["two"].Changes) > 0 })
	fmt.Println("accepted after", joined.Now.Sub(asked))
	joined.Platform.Down = true

	joined.RunUntil(4*time.Second, func() bool {
		for _, node := range joined.Nodes {
			if _, known := node.View.Config(key); !known {
				return false
			}
		}
		return true
	})
	fmt.Println("in force everywhere after", joined.Now.Sub(asked))
}
