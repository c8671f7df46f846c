package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"rainpulley/internal/audit"
)

// storedTitle is a title on a box's disk: the complete title, or the part copied so far.
type storedTitle struct {
	complete         bool
	copiedKB, sizeKB float64
	copyRate         float64            // kB/s requested for the copy
	cancelCopy       context.CancelFunc // nil unless a copy is in progress
	lastError        string             // why the last copy failed
}

// titleSizeKB returns the size of a title with all its renditions in kB.
func (f *Fleet) titleSizeKB(title string) float64 {
	rate := 0.0
	for _, r := range f.Site.Ladder {
		rate += float64(r.Rate)
	}
	for _, t := range f.Site.Titles {
		if t.Name == title {
			return rate * t.Length.Std().Seconds()
		}
	}
	return 0
}

// initialTitles returns the titles that a box of a cell stores completely at the start of a run.
func (f *Fleet) initialTitles(cell int) map[string]*storedTitle {
	out := map[string]*storedTitle{}
	for _, t := range f.Site.Titles {
		if n := f.Site.Cells; ((cell-t.Home)%n+n)%n < t.Span {
			s := f.titleSizeKB(t.Name)
			out[t.Name] = &storedTitle{complete: true, copiedKB: s, sizeKB: s}
		}
	}
	return out
}

// hasTitleLocked reports whether the box stores a complete title. Where copies are not managed, every box serves every
// title: the site's configuration alone says which boxes the planner uses. The caller holds the fleet's mutex.
func (b *Box) hasTitleLocked(title string) bool {
	s := b.titles[title]
	return s != nil && s.complete || !b.fleet.Site.Copies.Managed
}

// hasTitle is hasTitleLocked for callers that do not hold the mutex.
func (b *Box) hasTitle(title string) bool {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return b.hasTitleLocked(title)
}

// copyRate returns the rate in kB/s that copies to and from the box request of its link.
func (b *Box) copyRate() float64 {
	sum := b.copySendRate
	for _, s := range b.titles {
		if s.cancelCopy != nil {
			sum += s.copyRate
		}
	}
	return sum
}

// freeDiskKB returns the free disk space in kB.
func (b *Box) freeDiskKB() float64 {
	if b.faults.FullDisk {
		return 0
	}
	used, initial := 0.0, 0.0
	for _, s := range b.titles {
		used += max(s.sizeKB, s.copiedKB) // a copy in progress reserves its full size
	}
	average := 0.0
	for _, t := range b.fleet.Site.Titles {
		average += b.fleet.titleSizeKB(t.Name) * float64(t.Span) / float64(len(b.fleet.Boxes))
	}
	for _, s := range b.fleet.initialTitles(b.fleet.cellOf(b)) {
		initial += s.sizeKB
	}
	return max(max(initial, average)*b.fleet.DiskFactor-used, 0) // a box with few titles has an average disk
}

// cellOf returns the cell of a box.
func (f *Fleet) cellOf(b *Box) int {
	for i, other := range f.Boxes {
		if other == b {
			return f.Site.Boxes[i].Cell
		}
	}
	return 0
}

// countSessions returns the number of sessions that play a title.
func (b *Box) countSessions(title string) (n int) {
	for _, s := range b.sessions {
		if s.title == title {
			n++
		}
	}
	return n
}

// stopCopies cancels the copies to this box. Partial copies stay on disk.
func (b *Box) stopCopies() {
	for _, s := range b.titles {
		if s.cancelCopy != nil {
			s.cancelCopy()
			s.cancelCopy = nil
		}
	}
	b.titlesVersion++
}

// addTitleRoutes registers the handlers of the titles API.
func (b *Box) addTitleRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /titles", b.handleListTitles)
	mux.HandleFunc("PUT /titles/{title}", b.handleFetchTitle)
	mux.HandleFunc("DELETE /titles/{title}", b.handleDropTitle)
	mux.HandleFunc("GET /titles/{title}/data", b.handleSendTitle)
}

// handleListTitles lists the titles on disk and the free disk space.
func (b *Box) handleListTitles(w http.ResponseWriter, r *http.Request) {
	type titleLine struct {
		Name    string  `json:"name"`
		Whole   bool    `json:"whole"`
		Copying bool    `json:"copying"`
		Done    float64 `json:"done_kb"`
		Size    float64 `json:"size_kb"`
		Playing int     `json:"playing"`
		Error   string  `json:"error,omitempty"`
	}
	b.fleet.mu.Lock()
	out := struct {
		Boot    string      `json:"boot"`
		Version uint64      `json:"titles_version"`
		Free    float64     `json:"free_kb"`
		Titles  []titleLine `json:"titles"`
	}{b.bootID, b.titlesVersion, b.freeDiskKB(), []titleLine{}}
	for name, s := range b.titles {
		out.Titles = append(out.Titles,
			titleLine{name, s.complete, s.cancelCopy != nil, s.copiedKB, s.sizeKB, b.countSessions(name), s.lastError})
	}
	hang := b.faults.Hang
	b.fleet.mu.Unlock()
	if hang {
		<-r.Context().Done()
		return
	}
	slices.SortFunc(out.Titles, func(x, y titleLine) int { return strings.Compare(x.Name, y.Name) })
	_ = json.NewEncoder(w).Encode(out)
}

// checkEpoch refuses the command of a planner whose epoch is lower than one seen before.
func (b *Box) checkEpoch(w http.ResponseWriter, r *http.Request) bool {
	epoch, err := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	if err != nil || epoch < b.plannerEpoch {
		writeRefusal(w, http.StatusConflict, "epoch")
		return false
	}
	b.plannerEpoch = epoch
	return true
}

// writeRefusal answers with an error status and the reason in a header.
func writeRefusal(w http.ResponseWriter, code int, reason string) {
	w.Header().Set("Rainpulley-Reason", reason)
	http.Error(w, reason, code)
}

// handleFetchTitle starts copying a title from another box, or changes the source or rate of a copy in progress.
func (b *Box) handleFetchTitle(w http.ResponseWriter, r *http.Request) {
	f, q, title := b.fleet, r.URL.Query(), r.PathValue("title")
	rate, err := strconv.ParseFloat(q.Get("rate"), 64)
	f.mu.Lock()
	defer f.mu.Unlock()
	size := f.titleSizeKB(title)
	switch s := b.titles[title]; {
	case !b.checkEpoch(w, r):
		return
	case err != nil || !(rate > 0) || size <= 0:
		writeRefusal(w, http.StatusBadRequest, "no such title, or no rate")
		return
	case s != nil && s.complete:
		return
	case s == nil && b.freeDiskKB() < size:
		writeRefusal(w, http.StatusInsufficientStorage, "disk full")
		return
	case s != nil && s.cancelCopy != nil: // replaced by a copy from another box or at another rate
		s.cancelCopy()
	}
	s := b.titles[title]
	if s == nil {
		s = &storedTitle{sizeKB: size}
		b.titles[title] = s
	}
	ctx, cancel := context.WithCancel(f.ctx)
	s.copyRate, s.lastError, s.cancelCopy = rate, "", cancel
	b.titlesVersion++
	f.tasks.Add(1)
	go func() {
		defer f.tasks.Done()
		defer cancel()
		err := b.copyFrom(ctx, q.Get("from"), title, s, rate)
		f.mu.Lock()
		defer f.mu.Unlock()
		if ctx.Err() != nil && b.titles[title] != s || s.cancelCopy == nil && !s.complete {
			return // the copy was cancelled, the title was dropped, or the box crashed
		}
		if err != nil && ctx.Err() == nil {
			s.cancelCopy, s.lastError = nil, err.Error()
		}
		b.titlesVersion++
	}()
	w.WriteHeader(http.StatusAccepted)
}

// copyFrom reads the missing part of a title from another box.
func (b *Box) copyFrom(ctx context.Context, from, title string, s *storedTitle, rate float64) error {
	f := b.fleet
	f.mu.Lock()
	copied := s.copiedKB
	f.mu.Unlock()
	q := url.Values{"from": {strconv.FormatFloat(copied, 'f', 3, 64)}, "rate": {strconv.FormatFloat(rate, 'f', 3, 64)}}
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+from+"/titles/"+title+"/data?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return fmt.Errorf("%s answered %d", from, resp.StatusCode)
	}
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		f.mu.Lock()
		share := b.copyShare
		f.mu.Unlock()
		if share < 1 { // the receiving link is the bottleneck: slower reads hold back the sender
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(float64(n) * f.ModelScale / 1000 / rate / max(share, 0.01) * float64(time.Second))):
			}
		}
		f.mu.Lock()
		if b.titles[title] != s || s.cancelCopy == nil || ctx.Err() != nil {
			f.mu.Unlock()
			return context.Canceled
		}
		s.copiedKB = min(s.copiedKB+float64(n)*f.ModelScale/1000, s.sizeKB)
		b.titlesVersion++
		if errors.Is(err, io.EOF) && s.copiedKB >= s.sizeKB*0.999 {
			s.complete, s.copiedKB, s.cancelCopy = true, s.sizeKB, nil
			f.Log.Add(audit.Entry{Observer: "box", Subject: b.Addr, Event: audit.CopyCompleted, Title: title, Text: from})
			f.mu.Unlock()
			return nil
		}
		f.mu.Unlock()
		if err != nil {
			return fmt.Errorf("copy from %s: %w", from, err)
		}
	}
}

// handleSendTitle sends a complete title to another box, from an offset and at the requested rate or as much of it as
// the link has available.
func (b *Box) handleSendTitle(w http.ResponseWriter, r *http.Request) {
	f, title := b.fleet, r.PathValue("title")
	from, err1 := strconv.ParseFloat(r.URL.Query().Get("from"), 64)
	rate, err2 := strconv.ParseFloat(r.URL.Query().Get("rate"), 64)
	f.mu.Lock()
	ok := b.hasTitleLocked(title) && err1 == nil && err2 == nil && rate > 0 && from >= 0
	remaining := 0.0
	if ok {
		remaining = b.titles[title].sizeKB - from
		b.copySendRate += rate
	}
	f.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	defer func() { f.mu.Lock(); b.copySendRate -= rate; f.mu.Unlock() }()
	out := http.NewResponseController(w)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for remaining > 0 {
		select {
		case <-r.Context().Done():
			return
		case <-f.ctx.Done():
			return
		case <-t.C:
		}
		f.mu.Lock()
		kb, hang, hasTitle := min(rate*tickInterval.Seconds()*b.copyShare, remaining), b.faults.Hang, b.hasTitleLocked(title)
		f.mu.Unlock()
		if !hasTitle {
			panic(http.ErrAbortHandler)
		}
		if hang || kb <= 0 {
			continue
		}
		remaining -= kb
		if _, err := w.Write(make([]byte, int(kb*1000/f.ModelScale)+1)); err != nil || out.Flush() != nil {
			return
		}
	}
}

// handleDropTitle deletes a title from the disk unless sessions play it.
func (b *Box) handleDropTitle(w http.ResponseWriter, r *http.Request) {
	f, title := b.fleet, r.PathValue("title")
	f.mu.Lock()
	defer f.mu.Unlock()
	if !b.checkEpoch(w, r) {
		return
	}
	if b.countSessions(title) > 0 {
		writeRefusal(w, http.StatusConflict, "in use")
		return
	}
	if s := b.titles[title]; s != nil {
		if s.cancelCopy != nil {
			s.cancelCopy()
			s.cancelCopy = nil
		}
		delete(b.titles, title)
		b.titlesVersion++
		f.Log.Add(audit.Entry{Observer: "box", Subject: b.Addr, Event: audit.TitleDropped, Title: title})
	}
	w.WriteHeader(http.StatusNoContent)
}

// IsCopying reports whether a copy to the box is in progress.
func (b *Box) IsCopying() bool {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	for _, s := range b.titles {
		if s.cancelCopy != nil {
			return true
		}
	}
	return false
}

// HasTitle reports whether the box stores a complete title.
func (b *Box) HasTitle(title string) bool { return b.hasTitle(title) }
