package scenario

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// tellPlanner calls the planner's API and returns the status; 0 where it is not there.
func (r *Run) callPlanner(method, path, body string) int {
	q, err := http.NewRequest(method, "http://"+r.Site.Planner.Listen+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	p, err := (&http.Client{Timeout: 2 * time.Second}).Do(q)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, p.Body)
	_ = p.Body.Close()
	return p.StatusCode
}

// titleFault changes the catalogue while viewers come. An update that is not answered as it should be is an
// error of the day.
func (r *Run) applyTitleFault(f Fault, rnd *rand.Rand) func() {
	want := func(status int, method, path, body string) {
		if got := r.callPlanner(method, path, body); got != status {
			r.mu.Lock()
			r.plannerErrors = append(r.plannerErrors, fmt.Sprintf("%s %s %s: answered %d, want %d", method, path, body, got, status))
			r.mu.Unlock()
		}
	}
	which := sampleIndexes(rnd, len(r.Site.Titles), f.Share)
	put := func(i, further int) string {
		t := r.Site.Titles[i]
		return fmt.Sprintf(`{"name":%q,"home":%d,"span":%d,"length_ms":%d}`, t.Name, (t.Home+further)%r.Site.Cells, t.Span, t.Length.D().Milliseconds())
	}
	path := func(i int) string { return "/v1/titles/" + r.Site.Titles[i].Name }
	each := func(do func(i int)) func() {
		return func() {
			for _, i := range which {
				do(i)
			}
		}
	}
	switch f.Kind {
	case "move_titles":
		each(func(i int) { want(204, "PUT", path(i), put(i, int(f.Magnitude))) })()
		return func() {}
	case "remove_titles":
		each(func(i int) { want(204, "DELETE", path(i), "") })()
		return each(func(i int) { want(204, "PUT", path(i), put(i, 0)) })
	}
	each(func(i int) {
		whole := put(i, 1)
		for _, cut := range []int{0, len(whole) / 3, len(whole) / 2, len(whole) - 1} {
			want(400, "PUT", path(i), whole[:cut])
		}
	})()
	return func() {}
}
