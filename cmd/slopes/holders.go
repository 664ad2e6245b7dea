package main

import (
	"fmt"
	"time"

	"ibislift/core/kernel"
	"ibislift/standin/fleet"
)

// claimCounts are the numbers of claims at which the coordinator is measured.
var claimCounts = []int{0, 20_000, 40_000, 80_000}

// measureCoordinator prints the heap, the size of the claim segments and the
// platform writes that the claims of one partition cost their coordinator.
func measureCoordinator() {
	fmt.Println("| claims held | MB heap | bytes a claim in segments | platform writes |")
	fmt.Println("|---|---|---|---|")
	cluster := fleet.New(1)
	coordinator := kernel.Settings{Self: "clerk", Region: "east", DataCentre: "e1", PeerAddress: "clerk", ClaimPartitions: 1}
	cluster.Add(coordinator)
	cluster.Run(5 * time.Second)
	held := 0
	for _, count := range claimCounts {
		for ; held < count; held++ {
			cluster.Deliver("clerk", kernel.ClaimRequested{
				Token: uint64(held + 1), Key: fmt.Sprintf("intake/3b241101-e2bb-4255-8caf-%012d", held), RequestID: fmt.Sprintf("intake-1-19b0c0ffee-%x", held),
			})
			if held%50 == 0 {
				cluster.Run(30 * time.Millisecond)
			}
		}
		cluster.Run(time.Second)
		clear(cluster.Nodes["clerk"].ClaimResults)
		bytes := 0
		for _, name := range cluster.Platform.Names("claims/") {
			object, _ := cluster.Platform.Object(name)
			bytes += len(object.Body)
		}
		fmt.Printf("| %d | %.1f | %d | %d |\n", held, float64(heapInUse())/(1<<20), bytes/max(1, held), cluster.Platform.Writes)
	}
}
