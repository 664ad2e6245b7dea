package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"ibislift/core/admit"
	"ibislift/core/kernel"
)

// Status is the state of the fleet as recorded by one daemon. RecordsDigest is the
// digest of the daemon's replicated records in hexadecimal form; daemons with the
// same records have the same digest. Its JSON name is root. ClaimCoordinators lists
// the claim coordinators of each partition. Its JSON name is clerks. CrashSuspects
// lists the fingerprints of requests on which upstreams have crashed.
type Status struct {
	Name              string                `json:"name"`
	StartedAt         time.Time             `json:"started"`
	Ready             bool                  `json:"ready"`
	Watching          bool                  `json:"watching"`
	Evacuated         []string              `json:"evacuated,omitempty"`
	PlatformDownSince *time.Time            `json:"platformDown,omitempty"`
	PlatformCalls     PlatformCalls         `json:"platformCalls"`
	RecordsDigest     string                `json:"root"`
	Withdrawal        *Withdrawal           `json:"withdrawal,omitempty"`
	ProbeInterval     string                `json:"probeGap"`
	Load              admit.Load            `json:"load"`
	ClaimCoordinators [][]string            `json:"clerks"`
	Regions           []RegionStatus        `json:"regions"`
	CrashSuspects     []kernel.CrashSuspect `json:"suspects"`
	Versions          []VersionStatus       `json:"versions"`
}

// Withdrawal describes a withdrawal of the daemon from callers. After its end, it has only
// the reason why the daemon accepts callers again.
type Withdrawal struct {
	Withdrawn bool       `json:"withdrawn"`
	Since     *time.Time `json:"since,omitempty"`
	Until     *time.Time `json:"until,omitempty"`
	Reason    string     `json:"reason"`
}

// PlatformCalls counts the calls to the platform that the daemon has made since
// its start.
type PlatformCalls struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// RegionStatus holds the numbers of daemons, by membership state, and of targets
// in a region.
type RegionStatus struct {
	Region  string `json:"region"`
	Alive   int    `json:"alive"`
	Suspect int    `json:"suspect"`
	Dead    int    `json:"dead"`
	Targets int    `json:"targets"`
}

// VersionStatus describes the version of a configuration object that is in
// force.
type VersionStatus struct {
	Kind       string    `json:"kind"`
	Name       string    `json:"name"`
	Version    uint64    `json:"version"`
	Author     string    `json:"author"`
	ReceivedAt time.Time `json:"arrived"`
	Retired    bool      `json:"retired,omitempty"`
}

func (api *API) status(ctx echo.Context) error {
	view := api.View()
	reads, writes := api.PlatformCalls()
	status := Status{
		Name:              api.Name,
		StartedAt:         api.StartedAt,
		Ready:             view.Ready,
		Watching:          view.Watching,
		Evacuated:         view.Evacuated,
		PlatformCalls:     PlatformCalls{Reads: reads, Writes: writes},
		RecordsDigest:     strconv.FormatUint(view.TableDigest, 16),
		ProbeInterval:     view.ProbeInterval.String(),
		Load:              api.Gate.Load(),
		ClaimCoordinators: view.ClaimCoordinators,
		Regions:           regionStatuses(view),
		CrashSuspects:     view.CrashSuspects,
		Versions:          versionStatuses(view),
	}
	if !view.PlatformDownSince.IsZero() {
		status.PlatformDownSince = &view.PlatformDownSince
	}
	status.Withdrawal = withdrawalStatus(view.Withdrawal)
	return ctx.JSON(http.StatusOK, status)
}

// withdrawalStatus returns nil if the daemon has never withdrawn.
func withdrawalStatus(withdrawal kernel.Withdrawal) *Withdrawal {
	switch {
	case withdrawal.Reason == "":
		return nil
	case withdrawal.Since.IsZero():
		return &Withdrawal{Reason: withdrawal.Reason}
	default:
		return &Withdrawal{Withdrawn: true, Since: &withdrawal.Since, Until: &withdrawal.Until, Reason: withdrawal.Reason}
	}
}

func regionStatuses(view *kernel.View) []RegionStatus {
	indexes := map[string]int{}
	regions := []RegionStatus{}
	for _, member := range view.Members {
		index, known := indexes[member.Region]
		if !known {
			index = len(regions)
			indexes[member.Region] = index
			regions = append(regions, RegionStatus{Region: member.Region})
		}
		region := &regions[index]
		switch member.State {
		case kernel.MemberAlive:
			region.Alive++
		case kernel.MemberSuspect:
			region.Suspect++
		case kernel.MemberDead:
			region.Dead++
		}
		if member.Serves() {
			region.Targets++
		}
	}
	return regions
}

func versionStatuses(view *kernel.View) []VersionStatus {
	versions := []VersionStatus{}
	for _, config := range view.Configs {
		kind := "profile"
		if config.Key.Kind == kernel.KindService {
			kind = "service"
		}
		versions = append(versions, VersionStatus{
			Kind: kind, Name: config.Key.Name, Version: config.Version,
			Author: config.Author, ReceivedAt: config.ReceivedAt, Retired: config.Retired,
		})
	}
	return versions
}

func (api *API) targets(ctx echo.Context) error {
	members := api.View().Members
	if members == nil {
		members = []kernel.Member{}
	}
	return ctx.JSON(http.StatusOK, members)
}

// Limits on the number of records in a response.
const (
	defaultRecords = 10
	maxRecords     = 1000
)

// explain returns the latest records that match the query. The query parameter
// most is the maximum number of records.
func (api *API) explain(ctx echo.Context) error {
	limit := defaultRecords
	if text := ctx.QueryParam("most"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 || number > maxRecords {
			return newProblem(http.StatusBadRequest, "invalid", "invalid", "most must be from 1 to "+strconv.Itoa(maxRecords))
		}
		limit = number
	}
	records := api.Records.Find(ctx.QueryParam("request"), ctx.QueryParam("service"), limit)
	if len(records) == 0 {
		return newProblem(http.StatusNotFound, "notFound", "not found",
			"no such record on this daemon; each record is kept by the daemon that received the request from the caller")
	}
	return ctx.JSON(http.StatusOK, records)
}

func (api *API) ready(ctx echo.Context) error {
	if !api.View().Ready {
		return newProblem(http.StatusServiceUnavailable, "notReady", "not ready",
			"this daemon has not yet received the configuration from its peers or the platform")
	}
	return ctx.String(http.StatusOK, "ready\n")
}
