package audit

import "slices"

// requestTimes returns, by edge, the sorted times at which viewers sent requests for which the edge had to place a session:
// requests for a session, and the reloads that were one. entries are in order of time.
func requestTimes(entries []Entry) map[string][]int64 {
	times := map[string][]int64{}
	reloads := reloadRequests{open: map[requestKey][]*openReload{}, openPlays: map[requestKey]int{},
		seenSessions: map[string]bool{}}
	for _, e := range entries {
		position := edgePosition(e.Edge)
		if e.Observer == "viewer" && e.Event == RequestSent && e.Text != PlaylistReload {
			times[position] = append(times[position], e.TimeMicros)
		}
		if at, found := reloads.find(e); found {
			times[position] = append(times[position], at)
		}
	}
	for _, list := range times {
		slices.Sort(list)
	}
	return times
}

// reloadRequests finds the reloads for which an edge had to place a session, because the session had been lost. Evidence is
// the session's first set-up at a box while its viewer has a reload open at that edge and no request for a session, or an
// answer that only a request for a placement gets: refused, failed, or none in time.
type reloadRequests struct {
	open         map[requestKey][]*openReload
	openPlays    map[requestKey]int
	seenSessions map[string]bool // those of which a box has received a set-up
}

// requestKey identifies a viewer's requests at an edge.
type requestKey struct{ viewer, position string }

// openReload is a reload that is not answered yet.
type openReload struct {
	session string // request ID
	sentAt  int64
	counted bool
}

// find takes the next entry. If it shows that a reload was a request, find returns when the reload was sent.
func (r *reloadRequests) find(e Entry) (sentAt int64, found bool) {
	key := requestKey{e.Viewer, edgePosition(e.Edge)}
	isEnd := e.Event == AnswerReceived || e.Event == Unanswered || e.Event == ViewerGaveUp
	switch {
	case e.Observer == "viewer" && e.Text == PlaylistReload && e.Event == RequestSent:
		r.open[key] = append(r.open[key], &openReload{session: e.Session, sentAt: e.TimeMicros})
	case e.Observer == "viewer" && e.Text == PlaylistReload && isEnd:
		return r.close(key, e)
	case e.Observer == "viewer" && e.Event == RequestSent:
		r.openPlays[key]++
	case e.Observer == "viewer" && isEnd:
		r.openPlays[key] = max(r.openPlays[key]-1, 0)
	case e.Observer == "box" && e.Event == SetUpReceived && !r.seenSessions[e.Session]:
		r.seenSessions[e.Session] = true
		if r.openPlays[key] == 0 {
			return r.countOldest(key)
		}
	}
	return 0, false
}

// close removes the reload that an entry ends, and counts it if its answer shows that it was a request.
func (r *reloadRequests) close(key requestKey, e Entry) (sentAt int64, found bool) {
	i := slices.IndexFunc(r.open[key], func(o *openReload) bool { return o.session == e.Session })
	if i < 0 {
		return 0, false
	}
	reload := r.open[key][i]
	r.open[key] = slices.Delete(r.open[key], i, i+1)
	if reload.counted || e.Event != AnswerReceived || e.Status != 502 && e.Status != 503 && e.Status != 504 {
		return 0, false
	}
	return reload.sentAt, true
}

// countOldest counts the viewer's oldest open reload that is not counted yet.
func (r *reloadRequests) countOldest(key requestKey) (sentAt int64, found bool) {
	for _, reload := range r.open[key] {
		if !reload.counted {
			reload.counted = true
			return reload.sentAt, true
		}
	}
	return 0, false
}
