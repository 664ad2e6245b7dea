package routes_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ibislift/core/routes"
)

// tableWith returns the JSON of a table with the given workspaces.
func tableWith(t *testing.T, workspaces ...routes.Workspace) []byte {
	t.Helper()
	body, err := json.Marshal(routes.Table{Version: 1, Workspaces: workspaces})
	is.New(t).NoErr(err)
	return body
}

// requireInvalid fails unless the table is rejected with an error that mentions the text.
func requireInvalid(t *testing.T, body []byte, mention string) {
	t.Helper()
	_, err := routes.Parse(body)
	is := is.New(t)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), mention))
}

func TestWorkspaces(t *testing.T) {
	one := routes.Workspace{Name: "one", Keys: []routes.KeyDigest{routes.DigestKey("a"), routes.DigestKey("b")}, Rate: 3, Burst: 4}
	two := routes.Workspace{Name: "two", Keys: []routes.KeyDigest{routes.DigestKey("c")}}
	t.Run("a key belongs to its workspace only", func(t *testing.T) {
		is := is.New(t)
		table, err := routes.Parse(tableWith(t, one, two))
		is.NoErr(err)
		for key, name := range map[string]string{"a": "one", "b": "one", "c": "two"} {
			workspace, found := table.FindWorkspace(key)
			is.True(found)
			is.Equal(workspace.Name, name)
		}
		_, found := table.FindWorkspace("")
		is.True(!found)
		_, found = table.FindWorkspace("A")
		is.True(!found)
	})
	t.Run("a table holds no keys", func(t *testing.T) {
		body := tableWith(t, routes.Workspace{Name: "one", Keys: []routes.KeyDigest{routes.DigestKey("secretKey")}})
		is.New(t).True(!strings.Contains(string(body), "secretKey"))
	})
	t.Run("a key of two workspaces", func(t *testing.T) {
		requireInvalid(t, tableWith(t, one, routes.Workspace{Name: "two", Keys: one.Keys[:1]}), `also belongs to workspace "one"`)
	})
	t.Run("two workspaces with one name", func(t *testing.T) {
		requireInvalid(t, tableWith(t, two, two), "not unique")
	})
	t.Run("a negative rate", func(t *testing.T) {
		requireInvalid(t, tableWith(t, routes.Workspace{Name: "one", Rate: -1}), "at least 0")
	})
	t.Run("a key in place of its digest is not repeated in the error", func(t *testing.T) {
		_, err := routes.Parse([]byte(`{"version":1,"workspaces":[{"name":"one","keys":["secretKey"]}]}`))
		is := is.New(t)
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), "secretKey"))
	})
	t.Run("a digest of another length", func(t *testing.T) {
		requireInvalid(t, []byte(`{"version":1,"workspaces":[{"name":"one","keys":["YQ"]}]}`), "digest")
	})
}
