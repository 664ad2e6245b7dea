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

// printTable prints rows in aligned columns.
func printTable(header string, rows [][]string) error {
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, header)
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

func printObjects(objects []operator.Object) error {
	var rows [][]string
	for _, object := range objects {
		rows = append(rows, []string{
			object.Name, fmt.Sprint(object.Version), object.Author,
			object.WrittenAt.Format(time.RFC3339), compactJSON(object.Spec),
		})
	}
	return printTable("NAME\tVERSION\tAUTHOR\tWRITTEN\tSPEC", rows)
}

// compactJSON returns a spec without whitespace, or unchanged if it is not
// valid JSON.
func compactJSON(spec json.RawMessage) string {
	var buffer bytes.Buffer
	if json.Compact(&buffer, spec) != nil {
		return string(spec)
	}
	return buffer.String()
}

func printObject(object operator.Object) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, object.Spec, "", "  "); err != nil {
		return err
	}
	_, err := fmt.Printf("%s, version %d, written by %s at %s, retired %t\n%s\n", object.Name, object.Version,
		object.Author, object.WrittenAt.Format(time.RFC3339), object.Retired, indented.String())
	return err
}

func printTargets(members []kernel.Member) error {
	var rows [][]string
	for _, member := range members {
		rows = append(rows, []string{
			member.ID, member.Region, member.DataCentre, string(member.State),
			member.Target.Service, string(member.Target.State), fmt.Sprint(member.Target.Slots), member.CallerAddress,
		})
	}
	return printTable("DAEMON\tREGION\tDATA CENTRE\tSTATE\tSERVICE\tTARGET\tSLOTS\tCALLERS", rows)
}

func printStatus(status operator.Status) error {
	platform := "reachable"
	if status.PlatformDownSince != nil {
		platform = "not reachable since " + status.PlatformDownSince.Format(time.RFC3339)
	}
	fmt.Printf("daemon %s, ready %t, watching the platform %t\n", status.Name, status.Ready, status.Watching)
	fmt.Printf("platform %s; %d reads and %d writes from here\n", platform, status.PlatformCalls.Reads, status.PlatformCalls.Writes)
	if withdrawal := status.Withdrawal; withdrawal != nil && withdrawal.Withdrawn {
		fmt.Printf("withdrawn from callers since %s: %s\n", withdrawal.Since.Format(time.RFC3339), withdrawal.Reason)
	}
	fmt.Printf("gate: running %d, queued %d of %d slots; probes at least %s apart\n",
		status.Load.Running, status.Load.Queued, status.Load.Slots, status.ProbeInterval)
	var regions [][]string
	for _, region := range status.Regions {
		regions = append(regions, []string{
			region.Region, fmt.Sprint(region.Alive), fmt.Sprint(region.Suspect), fmt.Sprint(region.Dead), fmt.Sprint(region.Targets),
		})
	}
	if err := printTable("REGION\tALIVE\tSUSPECT\tDEAD\tTARGETS", regions); err != nil {
		return err
	}
	var versions [][]string
	for _, version := range status.Versions {
		versions = append(versions, []string{
			version.Kind, version.Name, fmt.Sprint(version.Version), version.Author, version.ReceivedAt.Format(time.RFC3339),
		})
	}
	return printTable("KIND\tNAME\tVERSION\tAUTHOR\tARRIVED", versions)
}

func printRecords(records []caller.Record) error {
	for _, record := range records {
		fmt.Printf("%s %s %s %s at %s: %s, status %d\n", record.RequestID, record.Service, record.Method, record.Path,
			record.ArrivedAt.Format(time.RFC3339Nano), record.Outcome, record.Status)
		if record.Workspace != "" {
			fmt.Printf("  workspace %s\n", record.Workspace)
		}
		if len(record.Regions) > 0 {
			fmt.Printf("  allowed regions: %s\n", strings.Join(record.Regions, " "))
		}
		for _, step := range record.Steps {
			fmt.Printf("  +%-12s %s %s\n", step.Elapsed.Round(time.Microsecond), step.Event, step.Detail)
			for _, candidate := range step.Candidates {
				printCandidate(candidate)
			}
		}
	}
	return nil
}

func printCandidate(candidate caller.Candidate) {
	marker := " "
	if candidate.Chosen {
		marker = "*"
	}
	fmt.Printf("    %s %-16s in flight %d, running %d, queued %d of %d slots, report %s old, latency %s, link %s, failing %.2f, warmth %.2f, ejected %t, draining %t\n",
		marker, candidate.Target, candidate.InFlight, candidate.Running, candidate.Queued, candidate.Slots,
		reportAge(candidate), candidate.Latency.Round(time.Microsecond), candidate.LinkLatency,
		candidate.FailureRate, candidate.Warmth, candidate.Ejected, candidate.Draining)
}

func reportAge(candidate caller.Candidate) string {
	if !candidate.HasReport {
		return "never"
	}
	return candidate.ReportAge.Round(time.Millisecond).String()
}
