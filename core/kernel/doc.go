// Package kernel implements the control state of one ibislift daemon as a
// deterministic state machine.
//
// Kernel.Update takes an Event and returns a list of Effects. The kernel reads
// no clock, opens no socket, starts no goroutine and generates no random
// numbers: each event carries the time and a random value, and all I/O is
// returned as effects for the driver to perform. The result of an effect
// arrives later as another event.
//
// The parts of the control state (membership, configuration, claims, crash
// tracking, replication) are plug-ins. Each registers itself under a name in
// its init function, and the kernel passes every event to all of them.
//
// # Usage
//
//	import _ "ibislift/core/member" // registers itself
//
//	control := &kernel.Kernel{Settings: kernel.Settings{Self: "sleeplog-1"}}
//	effects := control.Update(kernel.Event{At: now, Message: kernel.Started{}})
//	for _, effect := range effects {
//		perform(effect) // implemented by the driver
//	}
package kernel
