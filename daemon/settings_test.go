package daemon_test

import (
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/matryer/is"

	"ibislift/daemon"
)

// parse parses the arguments of a daemon and validates the settings.
func parse(t *testing.T, arguments ...string) (daemon.Settings, error) {
	t.Helper()
	app := kingpin.New("test", "")
	app.Terminate(nil)
	app.DefaultEnvars()
	flags := &daemon.Flags{}
	flags.Register(app.Command("daemon", ""))
	_, err := app.Parse(append([]string{"daemon"}, arguments...))
	is.New(t).NoErr(err)
	return flags.Validate()
}

func TestSettings(t *testing.T) {
	named := []string{"--name", "one", "--region", "east", "--data-centre", "e1"}
	t.Run("defaults are valid for all other settings", func(t *testing.T) {
		settings, err := parse(t, named...)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(settings.CallerAddress, "127.0.0.1:8000")
	})
	t.Run("all invalid settings are reported at once, with their flags", func(t *testing.T) {
		_, err := parse(t, "--caller-address", "here", "--first-peer", "host:1", "--link", "east", "--claim-partitions", "0")
		is := is.New(t)
		is.True(err != nil)
		for _, flag := range []string{"--name", "--region", "--data-centre", "--caller-address", "--first-peer", "--link", "--claim-partitions"} {
			is.True(strings.Contains(err.Error(), flag+":"))
		}
	})
	t.Run("environment variables set flags", func(t *testing.T) {
		t.Setenv("TEST_PEER_ADDRESS", "10.0.0.1:1")
		settings, err := parse(t, named...)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(settings.PeerAddress, "10.0.0.1:1")
	})
	t.Run("a withdrawal needs a ready address and a time that helps callers", func(t *testing.T) {
		is := is.New(t)
		for _, arguments := range [][]string{{"--withdraw-after", "300ms"}, {"--withdraw-after=-1s"}, {"--withdraw-after", "1m", "--ready-address", "127.0.0.1:8005"}} {
			_, err := parse(t, append(arguments, named...)...)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), "--withdraw-after:"))
		}
		settings, err := parse(t, append(named, "--withdraw-after", "300ms", "--ready-address", "127.0.0.1:8005")...)
		is.NoErr(err)
		is.Equal(settings.WithdrawAfter, 300*time.Millisecond)
	})
	t.Run("links", func(t *testing.T) {
		settings, err := parse(t, append(named, "--link", "west=30ms,0.5", "--link", "north=10ms")...)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(settings.Links, []daemon.Link{{"west", 30 * time.Millisecond, 0.5}, {"north", 10 * time.Millisecond, 1}})
	})
}
