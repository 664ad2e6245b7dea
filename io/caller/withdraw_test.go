package caller

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
)

// checkArrival checks that a request is served, and what its record says of its arrival.
func checkArrival(t *testing.T, withdrawal kernel.Withdrawal, detail string) {
	t.Helper()
	ingress := withKeys(t)
	ingress.handler.View().Withdrawal = withdrawal
	response := ingress.send("/closed/x", nil, bearer(secretKey))
	is := is.New(t)
	is.Equal(response.Code, http.StatusOK)
	records := ingress.handler.Records.Find("", "", 1)
	is.Equal(len(records), 1)
	is.Equal(records[0].Steps[0].Event, "arrived")
	is.Equal(records[0].Steps[0].Detail, detail)
	is.Equal(strings.Contains(ingress.logs.String(), "arrived (withdrawn from callers: late)"), detail != "")
}

// A withdrawn daemon serves what still arrives, and explains that callers should have used
// another one.
func TestRequestAtAWithdrawnDaemon(t *testing.T) {
	now := time.Now()
	t.Run("during the withdrawal", func(t *testing.T) {
		checkArrival(t, kernel.Withdrawal{Since: now, Until: now.Add(time.Minute), Reason: "late"}, "withdrawn from callers: late")
	})
	t.Run("after it", func(t *testing.T) {
		checkArrival(t, kernel.Withdrawal{Reason: "timers fire in time"}, "")
	})
}
