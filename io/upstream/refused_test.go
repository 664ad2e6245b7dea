package upstream

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRefusedRequests(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	t.Run("are remembered for a time", func(t *testing.T) {
		is := is.New(t)
		refused := &refusedRequests{}
		is.True(!refused.includes("a", start))
		refused.add("a", start)
		is.True(refused.includes("a", start.Add(refusedRetention-time.Second)))
		is.True(refused.includes("a", start.Add(refusedRetention+time.Second)))
		is.True(!refused.includes("b", start))
		refused.add("b", start.Add(refusedRetention+2*time.Second))
		is.True(!refused.includes("a", start.Add(3*refusedRetention)))
	})
	t.Run("are bounded", func(t *testing.T) {
		is := is.New(t)
		refused := &refusedRequests{}
		for number := range 5 * maxRefused {
			refused.add(strconv.Itoa(number), start)
			is.True(refused.includes(strconv.Itoa(max(0, number-maxRefused/2)), start))
		}
		is.True(len(refused.recent)+len(refused.earlier) <= 2*maxRefused)
	})
}
