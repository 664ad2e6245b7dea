package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/fleet"
)

func TestRestartsKeepTheFleet(t *testing.T) {
	const size = 25
	is := is.New(t)
	cluster := fleet.New(1)
	for number := range size {
		cluster.Add(daemonSettings(number))
	}
	cluster.Run(time.Second)
	measureRestarts(cluster, size, 0, 0)
	is.Equal(len(cluster.Nodes), size) // restarted, none added
}
