package main

import (
	"fmt"
	"time"

	"ibislift/core/kernel"
	"ibislift/standin/fleet"
)

// claimSteps are the numbers of claims that a clerk holds.
var claimSteps = []int{0, 20_000, 40_000, 80_000}

// measureHolders prints what a clerk keeps for the claims of one partition.
func measureHolders() {
	fmt.Println("| claims held | MB heap | bytes a claim in segments | platform writes |")
	fmt.Println("|---|---|---|---|")
	joined := fleet.New(1)
	clerk := kernel.Settings{Self: "clerk", Region: "east", DataCentre: "e1", PeerAddress: "clerk", ClaimPartitions: 1}
	joined.Add(clerk)
	joined.Run(5 * time.Second)
	held := 0
	for _, step := range claimSteps {
		for ; held < step; held++ {
			joined.Tell("clerk", kernel.ClaimRequested{
				Token: uint64(held + 1), Key: fmt.Sprintf("intake/3b241101-e2bb-4255-8caf-%012d", held), RequestID: fmt.Sprintf("intake-1-19b0c0ffee-%x", held),
			})
			if held%50 == 0 {
				joined.Run(30 * time.Millisecond)
			}
		}
		joined.Run(time.Second)
		clear(joined.Nodes["clerk"].Claims)
		bytes := 0
		for _, name := range joined.Platform.Names("claims/") {
			object, _ := joined.Platform.Object(name)
			bytes += len(object.Body)
		}
		fmt.Printf("| %d | %.1f | %d | %d |\n", held, float64(heapInUse())/(1<<20), bytes/max(1, held), joined.Platform.Writes)
	}
}
