package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/core/withdraw"
)

// newWithdrawal returns a daemon that is ready, apart from a withdrawal.
func newWithdrawal(withdrawal kernel.Withdrawal) *Daemon {
	daemon := &Daemon{Site: Site{}.withDefaults(), control: newControl(kernel.Settings{})}
	daemon.control.view.Store(&kernel.View{Ready: true, Withdrawal: withdrawal})
	return daemon
}

// checkReadiness checks the status of a readiness check and the gauge.
func checkReadiness(t *testing.T, daemon *Daemon, status int, gauge int64) {
	t.Helper()
	recorder := httptest.NewRecorder()
	daemon.readinessHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, daemon.Site.Dialect.ReadyPath, nil))
	is := is.New(t)
	is.Equal(recorder.Code, status)
	is.Equal(daemon.withdrawnGauge(), gauge)
}

func TestReadinessOfAWithdrawnDaemon(t *testing.T) {
	now := time.Now()
	t.Run("a daemon that has not withdrawn is ready", func(t *testing.T) {
		checkReadiness(t, newWithdrawal(kernel.Withdrawal{}), http.StatusOK, 0)
	})
	t.Run("a withdrawn daemon is not", func(t *testing.T) {
		checkReadiness(t, newWithdrawal(kernel.Withdrawal{Since: now, Until: now.Add(time.Minute)}), http.StatusServiceUnavailable, 1)
	})
	// A control goroutine that gets no processor time does not publish the end.
	t.Run("it is ready after the time limit although the view is old", func(t *testing.T) {
		checkReadiness(t, newWithdrawal(kernel.Withdrawal{Since: now.Add(-time.Minute), Until: now.Add(-time.Second)}), http.StatusOK, 0)
	})
}

func TestTimerLatenessIsMeasured(t *testing.T) {
	daemon := newWithdrawal(kernel.Withdrawal{})
	daemon.timerLateness.Store(-1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		daemon.measureTimerLateness(ctx)
	}()
	is := is.New(t)
	for end := time.Now().Add(20 * time.Second); daemon.timerLateness.Load() < 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(daemon.timerLateness.Load() >= 0)
	cancel()
	<-ended
}

// The kernel must get the end of a slow period, and no samples while timers fire in time.
func TestSamplesThatTheKernelNeeds(t *testing.T) {
	sampler := latenessSampler{}
	is := is.New(t)
	is.True(!sampler.isNeeded(0))
	is.True(sampler.isNeeded(withdraw.MaxTimerLateness))
	for range withdraw.SamplesToRecover {
		is.True(sampler.isNeeded(withdraw.MaxTimerLateness - 1))
	}
	is.True(!sampler.isNeeded(withdraw.MaxTimerLateness - 1))
	is.True(sampler.isNeeded(time.Second))
}

func TestWithdrawalIsLogged(t *testing.T) {
	now := time.Now()
	withdrawn := kernel.Withdrawal{Since: now, Until: now.Add(time.Second), Reason: "late"}
	for name, test := range map[string]struct {
		before, now kernel.Withdrawal
		want        string
	}{
		"the start":   {kernel.Withdrawal{}, withdrawn, "withdrawn from callers"},
		"the end":     {withdrawn, kernel.Withdrawal{Reason: "in time"}, "accepts callers again"},
		"no change":   {withdrawn, withdrawn, ""},
		"none at all": {kernel.Withdrawal{}, kernel.Withdrawal{}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var text bytes.Buffer
			logWithdrawal(slog.New(slog.NewTextHandler(&text, nil)), test.before, test.now)
			is := is.New(t)
			is.True(strings.Contains(text.String(), test.want))
			is.Equal(text.Len() == 0, test.want == "")
		})
	}
}
