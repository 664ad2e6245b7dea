package deployment

import (
	"os"
	"time"
)

// readyTimeout bounds the wait for all daemons of a new deployment.
const readyTimeout = 60 * time.Second

// Launch starts a deployment with logs in a directory of its own, waits until
// it is ready, and returns it with the function that ends it and removes the
// directory.
func (plan Plan) Launch(programs string) (*Running, func(), error) {
	directory, err := os.MkdirTemp("", "ibislift-"+plan.Name+"-")
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	running, err := plan.Start(programs, directory)
	if err != nil {
		_ = os.RemoveAll(directory)
		return nil, nil, err
	}
	stop := func() {
		running.Stop()
		_ = os.RemoveAll(directory)
	}
	if err := running.AwaitReady(readyTimeout); err != nil {
		stop()
		return nil, nil, err
	}
	return running, stop, nil
}
