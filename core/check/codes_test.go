package check_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Scripts choose findings by their codes, so the page for operators lists all of them.
func TestCodesAreDocumented(t *testing.T) {
	is := is.New(t)
	source, err := os.ReadFile("codes.go")
	is.NoErr(err)
	page, err := os.ReadFile("../../docs/operators/check-config.md")
	is.NoErr(err)
	codes := regexp.MustCompile(`Code\w+ += "(\w+)"`).FindAllStringSubmatch(string(source), -1)
	is.True(len(codes) > 0)
	for _, code := range codes {
		t.Run(code[1], func(t *testing.T) {
			if !strings.Contains(string(page), "`"+code[1]+"`") {
				t.Error("the page does not list the code")
			}
		})
	}
}
