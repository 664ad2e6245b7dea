package route

import "time"

// classWeight is the part that one answer has in the means of its class.
const classWeight = 0.1

// Class is what a daemon has learnt of one kind of requests.
type Class struct {
	// Work is how long a request runs on a target that is not slowed.
	Work time.Duration
	// Bytes is the mean size of an answer.
	Bytes float64
}

// Class returns what is known of a kind of requests.
func (book *Book) Class(name string) Class {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return book.classes[name]
}

// Learn notes an answer to a request of a kind: the work as its gate knows it,
// and its size. A work of 0 is not known.
func (book *Book) Learn(name string, work time.Duration, bytes int64) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if book.classes == nil {
		book.classes = map[string]Class{}
	}
	class, known := book.classes[name]
	if !known {
		class = Class{Work: work, Bytes: float64(bytes)}
	}
	if work > 0 {
		class.Work += time.Duration(float64(work-class.Work) * classWeight)
	}
	class.Bytes += (float64(bytes) - class.Bytes) * classWeight
	book.classes[name] = class
}
