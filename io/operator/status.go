package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"ibislift/core/admit"
	"ibislift/core/kernel"
)

// Status is the fleet as one daemon sees it.
type Status struct {
	Name         string           `json:"name"`
	Started      time.Time        `json:"started"`
	Ready        bool             `json:"ready"`
	Watching     bool             `json:"watching"`
	PlatformDown *time.Time       `json:"platformDown,omitempty"`
	Calls        PlatformCalls    `json:"platformCalls"`
	Root         string           `json:"root"`
	ProbeGap     string           `json:"probeGap"`
	Load         admit.Load       `json:"load"`
	Clerks       [][]string       `json:"clerks"`
	Regions      []RegionStatus   `json:"regions"`
	Suspects     []kernel.Suspect `json:"suspects"`
	Versions     []VersionStatus  `json:"versions"`
}

// PlatformCalls are the calls of the platform that this daemon has made.
type PlatformCalls struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// RegionStatus counts the daemons and targets of a region.
type RegionStatus struct {
	Region  string `json:"region"`
	Alive   int    `json:"alive"`
	Suspect int    `json:"suspect"`
	Dead    int    `json:"dead"`
	Targets int    `json:"targets"`
}

// VersionStatus is a configuration object in force.
type VersionStatus struct {
	Kind    string    `json:"kind"`
	Name    string    `json:"name"`
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Arrived time.Time `json:"arrived"`
	Retired bool      `json:"retired,omitempty"`
}

func (api *API) status(ctx echo.Context) error {
	view := api.View()
	reads, writes := api.Calls()
	status := Status{
		Name:     api.Name,
		Started:  api.Started,
		Ready:    view.Ready,
		Watching: view.Watching,
		Calls:    PlatformCalls{Reads: reads, Writes: writes},
		Root:     strconv.FormatUint(view.Root, 16),
		ProbeGap: view.ProbeInterval.String(),
		Load:     api.Gate.Load(),
		Clerks:   view.ClaimCoordinators,
		Regions:  regionsOf(view),
		Suspects: view.Suspects,
		Versions: versionsOf(view),
	}
	if !view.PlatformDownSince.IsZero() {
		status.PlatformDown = &view.PlatformDownSince
	}
	return ctx.JSON(http.StatusOK, status)
}

func regionsOf(view *kernel.View) []RegionStatus {
	positions := map[string]int{}
	regions := []RegionStatus{}
	for _, member := range view.Members {
		position, known := positions[member.Region]
		if !known {
			position = len(regions)
			positions[member.Region] = position
			regions = append(regions, RegionStatus{Region: member.Region})
		}
		region := &regions[position]
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

func versionsOf(view *kernel.View) []VersionStatus {
	versions := []VersionStatus{}
	for _, config := range view.Configs {
		kind := "profile"
		if config.Key.Kind == kernel.KindService {
			kind = "service"
		}
		versions = append(versions, VersionStatus{
			Kind: kind, Name: config.Key.Name, Version: config.Version,
			Author: config.Author, Arrived: config.ReceivedAt, Retired: config.Retired,
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

// Limits of how many records an answer has.
const (
	defaultRecords = 10
	maxRecords     = 1000
)

func (api *API) explain(ctx echo.Context) error {
	most := defaultRecords
	if text := ctx.QueryParam("most"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 || number > maxRecords {
			return newProblem(http.StatusBadRequest, "invalid", "invalid", "most must be from 1 to "+strconv.Itoa(maxRecords))
		}
		most = number
	}
	records := api.Records.Find(ctx.QueryParam("request"), ctx.QueryParam("service"), most)
	if len(records) == 0 {
		return newProblem(http.StatusNotFound, "notFound", "not found",
			"this daemon keeps no such record; records stay with the daemon that took the request")
	}
	return ctx.JSON(http.StatusOK, records)
}

func (api *API) ready(ctx echo.Context) error {
	if !api.View().Ready {
		return newProblem(http.StatusServiceUnavailable, "notReady", "not ready",
			"neither peers nor the platform have told this daemon the configuration")
	}
	return ctx.String(http.StatusOK, "ready\n")
}
