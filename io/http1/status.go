package http1

import "net/http"

// maxStatus is the highest status of a response. RFC 9110 defines five classes of
// statuses and calls those outside 100 to 599 invalid.
const maxStatus = 599

// IsFinalStatus reports whether a status is one of a final response.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// IsInterimStatus reports whether a status is one of an interim response. It does not
// include a switch of the protocol, which ends the exchange of requests and responses.
func IsInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
