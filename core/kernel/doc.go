// Package kernel is the control state of one ibislift daemon as a pure state
// machine.
//
// An Event goes in, a list of Effects comes out. The kernel reads no clock,
// opens no socket, starts no goroutine and draws no random number: the time
// and a random value arrive with each event, and everything that touches the
// outside is an effect for the driver to carry out. The result of an effect
// comes back later as another event.
//
// The parts of the control state (membership, configuration, claims, crashes,
// spreading) are plug-ins. Each registers itself under a name from its init
// function, and the kernel hands every event to all of them.
//
// # Usage
//
//	import _ "ibislift/core/member" // registers itself
//
//	control := &kernel.Kernel{Settings: kernel.Settings{Self: "sleeplog-1"}}
//	effects := control.Update(kernel.Event{At: now, Message: kernel.Started{}})
//	for _, effect := range effects {
//		perform(effect) // the driver's work
//	}
package kernel
