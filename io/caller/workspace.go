package caller

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"ibislift/core/routes"
)

// authorizationHeader carries the API key of a caller, as in RFC 6750.
const (
	authorizationHeader = "Authorization"
	authorizationScheme = "Bearer"
)

// The reasons for which a request has no workspace. They name no part of the key.
const (
	reasonNoKey        = "the request has no API key"
	reasonMalformedKey = "Authorization must be given once, as Bearer and the key"
	reasonUnknownKey   = "no workspace of the route table has the API key"
)

// applyAccess determines the workspace of a request whose route has matched, and the
// regions that may serve it. It returns a problem if the request may not be served at
// all.
func (request *request) applyAccess(table *routes.Table, header http.Header) *problem {
	request.class = request.route.Name
	if table.HasWorkspaces() {
		request.hidesKey = true
		workspace, reason := findWorkspace(table, header)
		if workspace == nil && !request.route.Anonymous {
			return &problem{
				Type: problemType + "unknownKey", Title: "a valid API key is required", Status: http.StatusUnauthorized,
				Detail: reason, challenge: authorizationScheme, reason: fmt.Sprintf("%s, version %d", reason, table.Version),
			}
		}
		request.workspace = workspace
	}
	request.rank, request.important = request.route.Rank, request.route.Rank == 0
	if table.HasWorkspaces() {
		request.rank, request.important = routes.CombineRanks(request.route, request.workspace)
	}
	regions, possible := routes.AllowedRegions(request.route, request.workspace)
	if !possible {
		return &problem{
			Type: problemType + "noAllowedRegion", Title: "no region may serve the request", Status: http.StatusServiceUnavailable,
			reason: fmt.Sprintf("the route allows %s, the workspace %s", strings.Join(request.route.Regions, " "), strings.Join(request.workspace.Regions, " ")),
		}
	}
	request.regions = regions
	return nil
}

// findWorkspace returns the workspace that the key in the header belongs to, or nil and
// the reason why there is none.
func findWorkspace(table *routes.Table, header http.Header) (workspace *routes.Workspace, reason string) {
	values := header[authorizationHeader]
	if len(values) == 0 {
		return nil, reasonNoKey
	}
	scheme, rest, _ := strings.Cut(values[0], " ")
	key := strings.Trim(rest, " ")
	if len(values) > 1 || !strings.EqualFold(scheme, authorizationScheme) || key == "" {
		return nil, reasonMalformedKey
	}
	workspace, found := table.FindWorkspace(key)
	if !found {
		return nil, reasonUnknownKey
	}
	return workspace, ""
}

// workspaceName returns the name of the workspace, or an empty string if the request
// belongs to none.
func (request *request) workspaceName() string {
	if request.workspace == nil {
		return ""
	}
	return request.workspace.Name
}

// removeIdentity removes the key and the name of a workspace from a header or from
// trailers of the caller, if the route table has workspaces. Names are compared without
// regard to case and to spaces before the colon, which the parser leaves in the name.
func (request *request) removeIdentity(header http.Header, workspaceHeader string) {
	if !request.hidesKey {
		return
	}
	for name := range header {
		bare := strings.TrimSpace(name)
		if strings.EqualFold(bare, authorizationHeader) || workspaceHeader != "" && strings.EqualFold(bare, workspaceHeader) {
			delete(header, name)
		}
	}
}

// claimKey returns the name under which the idempotency key of the request is claimed.
// The keys of a workspace are separate from those of others. Coordinators of claims, and
// the platform, may be outside the allowed regions; they learn a digest only.
func (request *request) claimKey() string {
	if request.key == "" || request.workspace == nil && request.regions == nil {
		return request.key
	}
	sum := sha256.Sum256([]byte(request.workspaceName() + "\x00" + request.key))
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// describeRegions names the regions that the request is restricted to.
func (request *request) describeRegions() string {
	return strings.Join(slices.Sorted(slices.Values(request.regions)), " ")
}
