package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"ibislift/core/kernel"
	"ibislift/io/caller"
	"ibislift/io/operator"
)

// table prints rows in aligned columns.
func table(header string, rows [][]string) error {
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, header)
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

func objectTable(objects []operator.Object) error {
	var rows [][]string
	for _, object := range objects {
		rows = append(rows, []string{
			object.Name, fmt.Sprint(object.Version), object.Author,
			object.WrittenAt.Format(time.RFC3339), compact(object.Spec),
		})
	}
	return table("NAME\tVERSION\tAUTHOR\tWRITTEN\tSPEC", rows)
}

func compact(spec json.RawMessage) string {
	var buffer bytes.Buffer
	if json.Compact(&buffer, spec) != nil {
		return string(spec)
	}
	return buffer.String()
}

func specTable(object operator.Object) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, object.Spec, "", "  "); err != nil {
		return err
	}
	_, err := fmt.Printf("%s, version %d, written by %s at %s, retired %t\n%s\n", object.Name, object.Version,
		object.Author, object.WrittenAt.Format(time.RFC3339), object.Retired, indented.String())
	return err
}

func targetTable(members []kernel.Member) error {
	var rows [][]string
	for _, member := range members {
		rows = append(rows, []string{
			member.ID, member.Region, member.DataCentre, string(member.State),
			member.Target.Service, string(member.Target.State), fmt.Sprint(member.Target.Slots), member.CallerAddress,
		})
	}
	return table("DAEMON\tREGION\tDATA CENTRE\tSTATE\tSERVICE\tTARGET\tSLOTS\tCALLERS", rows)
}

func statusTable(status operator.Status) error {
	platform := "reachable"
	if status.PlatformDownSince != nil {
		platform = "not reachable since " + status.PlatformDownSince.Format(time.RFC3339)
	}
	fmt.Printf("daemon %s, ready %t, watching the platform %t\n", status.Name, status.Ready, status.Watching)
	fmt.Printf("platform %s; %d reads and %d writes from here\n", platform, status.PlatformCalls.Reads, status.PlatformCalls.Writes)
	fmt.Printf("gate: running %d, queued %d of %d slots; probes at least %s apart\n",
		status.Load.Running, status.Load.Queued, status.Load.Slots, status.ProbeInterval)
	var regions [][]string
	for _, region := range status.Regions {
		regions = append(regions, []string{
			region.Region, fmt.Sprint(region.Alive), fmt.Sprint(region.Suspect), fmt.Sprint(region.Dead), fmt.Sprint(region.Targets),
		})
	}
	if err := table("REGION\tALIVE\tSUSPECT\tDEAD\tTARGETS", regions); err != nil {
		return err
	}
	var versions [][]string
	for _, version := range status.Versions {
		versions = append(versions, []string{
			version.Kind, version.Name, fmt.Sprint(version.Version), version.Author, version.ReceivedAt.Format(time.RFC3339),
		})
	}
	return table("KIND\tNAME\tVERSION\tAUTHOR\tARRIVED", versions)
}

func explainTable(records []caller.Record) error {
	for _, record := range records {
		fmt.Printf("%s %s %s %s at %s: %s, status %d\n", record.Request, record.Service, record.Method, record.Path,
			record.At.Format(time.RFC3339Nano), record.Outcome, record.Status)
		for _, step := range record.Steps {
			fmt.Printf("  +%-12s %s %s\n", step.After.Round(time.Microsecond), step.What, step.Detail)
			for _, candidate := range step.Candidates {
				explainCandidate(candidate)
			}
		}
	}
	return nil
}

func explainCandidate(candidate caller.Considered) {
	mark := " "
	if candidate.Chosen {
		mark = "*"
	}
	fmt.Printf("    %s %-16s in flight %d, running %d, queued %d of %d slots, report %s old, latency %s, link %s, failing %.2f, warmth %.2f, ejected %t, draining %t\n",
		mark, candidate.Target, candidate.InFlight, candidate.Running, candidate.Queued, candidate.Slots,
		age(candidate), candidate.Latency.Round(time.Microsecond), candidate.Link,
		candidate.Failing, candidate.Warmth, candidate.Ejected, candidate.Draining)
}

func age(candidate caller.Considered) string {
	if !candidate.Known {
		return "never"
	}
	return candidate.Age.Round(time.Millisecond).String()
}
