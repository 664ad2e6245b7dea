package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// playPath sends requests whose path has an escaped slash and, with the disruption, a
// character that clients send unescaped though it is outside RFC 3986.
func playPath(record *record) (int, error) {
	deployment, err := newDeployment(2)
	if err != nil {
		return 2, err
	}
	defer deployment.close()
	front := deployment.add("alpha", 18, answerWhole(5*time.Millisecond, 100))
	deployment.add("alpha", 18, answerWhole(5*time.Millisecond, 100))
	var mutex sync.Mutex
	ran := map[string]string{}
	for _, machine := range deployment.machines {
		machine.target.onRun = func(run run) {
			mutex.Lock()
			defer mutex.Unlock()
			ran[run.id] = run.target
			record.log("%s runs %s %s %s", machine.target.instance, run.id, run.method, run.target)
		}
	}
	deployment.configure(2, []string{"alpha"}, []routeOf{{prefix: "/a/", kind: "nonIdempotent", service: "alpha", timeout: 2}})
	if err := deployment.startAll(); err != nil {
		return 2, err
	}
	connection, err := dial(front.at(portOutbound))
	if err != nil {
		return 2, err
	}
	defer func() { _ = connection.Close() }()
	separator := "-"
	if hasTrouble() {
		separator = "|"
	}
	changed := 0
	for index := range 10 {
		id, target := nextID(), fmt.Sprintf("/a/2024%%2F07/%d%sdraft?sum=a%%2Fb", index, separator)
		record.log("sent %s DELETE %s", id, target)
		if _, err := io.WriteString(connection, requestText(http.MethodDelete, target, id, 2*time.Second)); err != nil {
			return 2, err
		}
		response, err := connection.readHead(http.MethodDelete)
		if err != nil {
			return 2, err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		record.log("answer %d to %s", response.StatusCode, id)
		mutex.Lock()
		if ranAs, hasRun := ran[id]; hasRun && ranAs != target {
			changed++
			record.log("%s was sent as %s and ran as %s", id, target, ranAs)
		}
		mutex.Unlock()
	}
	return record.verdict(changed > 0, "%d of 10 requests ran with another path than the one that was sent", changed), nil
}
