package route

import "time"

// classWeight is the weight of one response in the running means of its class.
const classWeight = 0.1

// Class holds the running means of one class of requests.
type Class struct {
	// ServiceTime is how long a request runs on a target that is not slowed
	// down.
	ServiceTime time.Duration
	// ResponseBytes is the mean size of a response.
	ResponseBytes float64
}

// Class returns the running means of a class of requests. They are zero if no
// response of the class has been recorded.
func (tracker *Tracker) Class(name string) Class {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.classes[name]
}

// UpdateClass adds a response to the means of its class: the service time
// that the target's gate reported, where 0 means unknown, and the size.
func (tracker *Tracker) UpdateClass(name string, serviceTime time.Duration, bytes int64) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.classes == nil {
		tracker.classes = map[string]Class{}
	}
	class, known := tracker.classes[name]
	if !known {
		class = Class{ServiceTime: serviceTime, ResponseBytes: float64(bytes)}
	}
	if serviceTime > 0 {
		class.ServiceTime += time.Duration(float64(serviceTime-class.ServiceTime) * classWeight)
	}
	class.ResponseBytes += (float64(bytes) - class.ResponseBytes) * classWeight
	tracker.classes[name] = class
}
