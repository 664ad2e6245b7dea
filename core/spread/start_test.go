package spread_test

import "testing"

func TestStartBytes(t *testing.T) {
	for _, n := range []int{24, 80, 296} {
		cluster := newFleet(n)
		env := 0
		for _, node := range cluster.Nodes {
			env += node.EnvelopesSent
		}
		t.Logf("%d: start %d bytes, %d envelopes each; reads %d writes %d", n, bytesSent(cluster)/n, env/n, cluster.Platform.Reads, cluster.Platform.Writes)
	}
}
