package deployment

import (
	"io"
	"strconv"
	"strings"
)

// LiveHeap returns the size of the daemon's heap in bytes, right after a garbage
// collection.
func (instance *Instance) LiveHeap() (float64, error) {
	response, err := httpClient.Get("http://" + instance.OperatorAddress() + "/debug/pprof/heap?gc=1")
	if err != nil {
		return 0, Error.Wrap(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if err := response.Body.Close(); err != nil {
		return 0, Error.Wrap(err)
	}
	return instance.Metric("go_memstats_heap_alloc_bytes")
}

// Metric returns the sum over all series of one of the daemon's metrics. The
// name may be followed by an opening brace and the first labels, such as
// name{label="value"; then only the series that begin with them count.
func (instance *Instance) Metric(name string) (float64, error) {
	response, err := httpClient.Get("http://" + instance.OperatorAddress() + "/metrics")
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	sum, found := 0.0, false
	for _, line := range strings.Split(string(text), "\n") {
		rest, ok := strings.CutPrefix(line, name)
		if !ok || rest == "" || !strings.ContainsRune(" {,", rune(rest[0])) {
			continue
		}
		value, err := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
		if err != nil {
			return 0, err
		}
		sum += value
		found = true
	}
	if !found {
		return 0, Error.New("%s has no metric %s", instance.Name, name)
	}
	return sum, nil
}
