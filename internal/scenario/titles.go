package scenario

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// callPlanner sends a request to the planner's API and returns the response status, or 0 if there is
// no response.
func (r *Run) callPlanner(method, path, body string) int {
	request, err := http.NewRequest(method, "http://"+r.Site.Planner.Listen+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := (&http.Client{Timeout: 2 * time.Second}).Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// applyTitleFault changes the catalogue under load and returns a function that reverts the change. A response with an
// unexpected status is recorded as an error of the run.
func (r *Run) applyTitleFault(f Fault, rnd *rand.Rand) func() {
	expect := func(status int, method, path, body string) {
		if got := r.callPlanner(method, path, body); got != status {
			r.mu.Lock()
			r.plannerErrors = append(r.plannerErrors,
				fmt.Sprintf("%s %s %s: answered %d, want %d", method, path, body, got, status))
			r.mu.Unlock()
		}
	}
	indexes := sampleIndexes(rnd, len(r.Site.Titles), f.Share)
	titleBody := func(i, cellOffset int) string {
		title := r.Site.Titles[i]
		return fmt.Sprintf(`{"name":%q,"home":%d,"span":%d,"length_ms":%d}`, title.Name, (title.Home+cellOffset)%r.Site.Cells,
			title.Span, title.Length.Std().Milliseconds())
	}
	path := func(i int) string { return "/v1/titles/" + r.Site.Titles[i].Name }
	forEach := func(do func(i int)) func() {
		return func() {
			for _, i := range indexes {
				do(i)
			}
		}
	}
	switch f.Kind {
	case "move_titles":
		forEach(func(i int) { expect(204, "PUT", path(i), titleBody(i, int(f.Magnitude))) })()
		return func() {}
	case "remove_titles":
		forEach(func(i int) { expect(204, "DELETE", path(i), "") })()
		return forEach(func(i int) { expect(204, "PUT", path(i), titleBody(i, 0)) })
	}
	forEach(func(i int) {
		fullBody := titleBody(i, 1)
		for _, length := range []int{0, len(fullBody) / 3, len(fullBody) / 2, len(fullBody) - 1} {
			expect(400, "PUT", path(i), fullBody[:length])
		}
	})()
	return func() {}
}
