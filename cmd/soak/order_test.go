package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestOrderBreaches guards against a check that accepts an urgent workspace which is served
// less often than another, or a workspace that is starved.
func TestOrderBreaches(t *testing.T) {
	for _, test := range []struct {
		name            string
		urgent, patient served
		want            string
	}{
		{"the urgent one is served more often", served{400, 380}, served{400, 150}, ""},
		{"as often but for 5 in 100", served{400, 220}, served{400, 240}, ""},
		{"less often by more than 5 in 100", served{400, 219}, served{400, 240}, "the urgent workspace was served 219/400 (0.55) and the patient one 240/400 (0.60)"},
		{"the patient one a quarter as often as all", served{400, 350}, served{400, 50}, ""},
		{"the patient one less than a quarter as often", served{400, 351}, served{400, 49}, "the patient workspace was served 49/400 (0.12) and all 400/800 (0.50)"},
		{"the urgent one is starved", served{400, 20}, served{400, 380}, "the urgent workspace was served 20/400 (0.05)"},
		{"everything is served", served{400, 400}, served{400, 390}, "capacity was not scarce"},
		{"nothing is served", served{400, 0}, served{400, 0}, "there was none: 0/800"},
		{"nothing is sent", served{}, served{}, "there was none"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			breaches := strings.Join(orderBreaches(test.urgent, test.patient), "\n")
			is.True(strings.Contains(breaches, test.want))
			is.Equal(breaches == "", test.want == "")
		})
	}
}
