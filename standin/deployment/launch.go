package deployment

import (
	"os"
	"time"
)

// readyTimeout limits the wait for all daemons of a new deployment.
const readyTimeout = 60 * time.Second

// Launch starts a deployment with its logs in a temporary directory and waits
// until it is ready. The returned function stops the deployment and removes the
// directory.
func (plan Plan) Launch(programDirectory string) (*Running, func(), error) {
	workDirectory, err := os.MkdirTemp("", "ibislift-"+plan.Name+"-")
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	running, err := plan.Start(programDirectory, workDirectory)
	if err != nil {
		_ = os.RemoveAll(workDirectory)
		return nil, nil, err
	}
	stop := func() {
		running.Stop()
		_ = os.RemoveAll(workDirectory)
	}
	if err := running.AwaitReady(readyTimeout); err != nil {
		stop()
		return nil, nil, err
	}
	return running, stop, nil
}
