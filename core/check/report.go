package check

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode"
)

// compareFindings orders errors before warnings, and then by path, code and message.
func compareFindings(first, second Finding) int {
	return cmp.Or(
		strings.Compare(string(first.Severity), string(second.Severity)),
		compareNatural(first.Path, second.Path),
		strings.Compare(first.Code, second.Code),
		strings.Compare(first.Message, second.Message),
	)
}

// compareNatural compares texts so that numbers in them follow their value: resources[9]
// goes before resources[10].
func compareNatural(first, second string) int {
	left, right := first, second
	for left != "" && right != "" {
		leftPart, rightPart := leadingPart(left), leadingPart(right)
		if leftPart != rightPart {
			if isDigit(leftPart[0]) && isDigit(rightPart[0]) {
				leftNumber, rightNumber := strings.TrimLeft(leftPart, "0"), strings.TrimLeft(rightPart, "0")
				return cmp.Or(cmp.Compare(len(leftNumber), len(rightNumber)), strings.Compare(leftNumber, rightNumber), strings.Compare(first, second))
			}
			return strings.Compare(left, right)
		}
		left, right = left[len(leftPart):], right[len(rightPart):]
	}
	return cmp.Compare(len(left), len(right))
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

// leadingPart returns the number at the beginning of a text, or else its first byte.
func leadingPart(text string) string {
	end := 0
	for end < len(text) && isDigit(text[end]) {
		end++
	}
	return text[:max(1, end)]
}

// WriteJSON writes the report as JSON.
func (report Report) WriteJSON(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(report)
}

// WriteText writes the report with a line for each finding and difference.
func (report Report) WriteText(writer io.Writer) error {
	var text strings.Builder
	for _, finding := range report.Findings {
		fmt.Fprintf(&text, "%s %s: %s (%s)\n", finding.Severity, cmp.Or(finding.Path, "file"), finding.Message, finding.Code)
	}
	for _, difference := range report.Differences {
		text.WriteString(difference.String() + "\n")
	}
	_, err := io.WriteString(writer, text.String())
	return err
}

// printable returns a value that fits in a line of text.
func printable(value string) string {
	if value == "" || strings.ContainsFunc(value, unicode.IsControl) {
		return strconv.Quote(value)
	}
	return value
}

// String describes the difference in a line.
func (difference Difference) String() string {
	text := difference.Change + " " + difference.Entry
	if difference.Name != "" {
		text += fmt.Sprintf(" %q", difference.Name)
	}
	switch {
	case difference.Field == FieldKeys:
		return text + fmt.Sprintf(": keys %s, %s", difference.Before, difference.After)
	case difference.Field != "":
		return text + fmt.Sprintf(": %s %s -> %s", difference.Field, printable(difference.Before), printable(difference.After))
	case difference.Before != "":
		return text + fmt.Sprintf(" %s -> %s", difference.Before, difference.After)
	default:
		return text
	}
}
