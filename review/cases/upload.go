package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"ibislift/review/kit"
)

// The uploads of this case are as large as the largest of gdp-malla.toml, and the
// targets reject as many requests as on its days, for as long.
const (
	uploadBytes    = 300_000
	uploadBudget   = 2 * time.Second
	uploadInterval = 300 * time.Millisecond
	shedShare      = 0.55
	shedTime       = 8500 * time.Millisecond
)

type upload struct {
	path, digest string
	length       int
}

func init() { cases["upload"] = playUpload }

// playUpload sends uploads in chunks while the targets reject a part of all requests or,
// with TROUBLE=crash, after one of the targets has crashed.
func playUpload(environment *environment) ([]string, error) {
	environment.configure(kit.Config{
		Version:  1,
		Services: []string{"plans"},
		Routes:   []kit.Route{{Name: "r-plans", Host: "plans.example", Prefix: "/plans/", Type: "upload", Service: "plans", Timeout: 2, Objective: 0.8}},
	})
	var targets []*kit.Target
	for index, zone := range append(kit.Zones(), "north-a") {
		target := &kit.Target{Slots: 18, Work: 50 * time.Millisecond, ShedShare: shedShare}
		if _, err := environment.addTarget(fmt.Sprintf("plans-%d", index+1), zone, "plans", target); err != nil {
			return nil, err
		}
		targets = append(targets, target)
	}
	if err := environment.fleet.AwaitReady(environment.fleet.Machines, readyTimeout); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	switch {
	case os.Getenv("TROUBLE") == "crash":
		environment.record.Line("trouble: %s crashes", targets[0].ID)
		targets[0].Exit()
	case environment.trouble:
		environment.record.Line("trouble: all targets reject %.2f of the requests for %s", shedShare, shedTime)
		for _, target := range targets {
			target.Shedding.Store(true)
		}
	}
	uploads := environment.sendUploads()
	for _, target := range targets {
		target.Shedding.Store(false)
	}
	return environment.checkBodies(uploads), nil
}

// sendUploads sends uploads to all machines for shedTime and waits for the answers.
func (environment *environment) sendUploads() map[string]upload {
	uploads := map[string]upload{}
	var group sync.WaitGroup
	for end := time.Now().Add(shedTime); time.Now().Before(end); time.Sleep(uploadInterval) {
		for _, machine := range environment.fleet.Machines {
			body := make([]byte, uploadBytes)
			for index := range body {
				body[index] = byte(rand.Uint32())
			}
			digest := sha256.Sum256(body)
			id := environment.consumer.NextID()
			sent := upload{path: "/plans/" + id, digest: hex.EncodeToString(digest[:8]), length: len(body)}
			uploads[id] = sent
			environment.record.Line("consumer: body of %s has %d bytes, digest %s", id, sent.length, sent.digest)
			group.Go(func() {
				// The reader hides the length, so that the body is sent in chunks.
				reader := struct{ io.Reader }{bytes.NewReader(body)}
				environment.consumer.Send(machine, id, kit.Request{Method: "POST", Host: "plans.example", Path: sent.path, Body: reader, Budget: uploadBudget})
			})
		}
	}
	group.Wait()
	return uploads
}

// checkBodies returns the runs whose request differs from the one that was sent.
func (environment *environment) checkBodies(uploads map[string]upload) []string {
	var violations []string
	for _, run := range environment.recordedRuns() {
		sent, known := uploads[run.ID]
		switch {
		case !known:
			violations = append(violations, fmt.Sprintf("%s ran %s, which no consumer sent", run.Target, run.ID))
		case run.Method != "POST" || run.Path != sent.path:
			violations = append(violations, fmt.Sprintf("%s ran %s as %s %s", run.Target, run.ID, run.Method, run.Path))
		case run.BodyDigest != sent.digest:
			violations = append(violations, fmt.Sprintf("%s ran %s with another body: %d bytes, digest %s, but %d bytes, digest %s, were sent",
				run.Target, run.ID, run.BodyLength, run.BodyDigest, sent.length, sent.digest))
		}
	}
	return violations
}
