package coordinator

import (
	"cmp"
	"slices"

	"github.com/lagoonmill/lagoonmill/internal/logger"
	"github.com/lagoonmill/lagoonmill/internal/modeler"
	"github.com/lagoonmill/lagoonmill/internal/planner"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
	"github.com/lagoonmill/lagoonmill/internal/tracker"
)

const (
	// longWait is the wait from which a job is logged.
	longWait timekeeper.Millis = 2000
	// waitLogInterval is the pause between two lines about a job whose cause stays the same.
	waitLogInterval timekeeper.Millis = 5000
	// causeLogInterval is the pause between two lines about a job whose cause changes.
	causeLogInterval timekeeper.Millis = 1000
	// waitReportInterval is the pause between two reports, since a plan is made after every change of the state.
	waitReportInterval timekeeper.Millis = 250
	// maxRoomGap is the time for which plans may see no room beside a job that goes on to stand there. A run that is assigned
	// just before the leader hears of the end of another one hides room for as long as that takes.
	maxRoomGap timekeeper.Millis = 150
	// maxWaitLines bounds the lines of one report.
	maxWaitLines = 20
	// idleShare is the free share of a service, in percent, from which a job that would fit should not have to wait.
	idleShare = 50
)

// jobWait is a wait with its beginning and the last line about it.
type jobWait struct {
	planner.Wait
	since    timekeeper.Millis
	loggedAt timekeeper.Millis // zero if no line has been written
	logged   planner.Cause
	present  bool // the job waits, or starts, after the plan that is being recorded
	// besideSince is when the job began to stand beside room; zero if it does not.
	besideSince timekeeper.Millis
	// lackSince is when the plans began to see no room beside the job; zero if the last one saw room.
	lackSince  timekeeper.Millis
	room       int               // how many times over its demand fits, at the last report
	twiceSince timekeeper.Millis // since when it has fitted twice over in each report; zero if it does not
	loggedHeld bool              // the last line was about a job that is held back
}

// heldBack reports whether the job's demand has fitted twice over for longWait.
func (w *jobWait) heldBack(now timekeeper.Millis) bool {
	return w.twiceSince != 0 && now-w.twiceSince >= longWait
}

// due reports whether a line about the wait is due.
func (w *jobWait) due(now timekeeper.Millis) bool {
	switch {
	case now-w.since < longWait:
		return false
	case w.loggedAt == 0:
		return true
	case w.Cause != w.logged || w.heldBack(now) && !w.loggedHeld:
		return now-w.loggedAt >= causeLogInterval
	}
	return now-w.loggedAt >= waitLogInterval
}

// waitReport is what is to be published about the waits: the lines that are due, and the number of jobs that have
// waited long, by cause.
type waitReport struct {
	lines  []jobWait
	counts map[planner.Cause]int
}

// waitRecorder keeps since when jobs wait with nothing running. The zero value has seen none.
type waitRecorder struct {
	jobs       map[modeler.JobID]*jobWait
	reportedAt timekeeper.Millis
}

// standing returns for how long jobs have stood beside room.
func (r *waitRecorder) standing(now timekeeper.Millis) map[modeler.JobID]timekeeper.Millis {
	standing := map[modeler.JobID]timekeeper.Millis{}
	for id, w := range r.jobs {
		if w.besideSince != 0 {
			standing[id] = now - w.besideSince
		}
	}
	return standing
}

// record updates the waits after a plan. It drops jobs that neither wait nor are to start. A job that stands beside room in
// the first plan of a term is taken to have done so for as long as it may, since it is not known for how long it has.
func (r *waitRecorder) record(now timekeeper.Millis, waits []planner.Wait, starts []tracker.Start) {
	besideSince := now
	if r.jobs == nil {
		r.jobs = map[modeler.JobID]*jobWait{}
		besideSince -= planner.StandingLimit
	}
	for _, w := range waits {
		r.recordWait(now, w).recordRoom(w.RoomTwice, now, besideSince)
	}
	for _, s := range starts {
		if known := r.jobs[s.Run.Task.Job]; known != nil {
			known.present = true
		}
	}
	for id, w := range r.jobs {
		if !w.present {
			delete(r.jobs, id)
		}
		w.present = false
	}
}

// recordWait updates the wait of one job. A cause that was found earlier is kept while the planner has not examined the
// job again.
func (r *waitRecorder) recordWait(now timekeeper.Millis, w planner.Wait) *jobWait {
	known := r.jobs[w.Job]
	if known == nil {
		known = &jobWait{since: now}
		r.jobs[w.Job] = known
	}
	known.present = true
	if w.Cause != planner.CauseNotExamined || known.Job == "" {
		known.Wait = w
	}
	return known
}

// recordRoom updates since when the job stands beside room: since the given time if it has just begun. It goes on through
// lacks of room of less than maxRoomGap.
func (w *jobWait) recordRoom(beside bool, now, since timekeeper.Millis) {
	if beside {
		w.lackSince = 0
		w.besideSince = cmp.Or(w.besideSince, since)
		return
	}
	w.lackSince = cmp.Or(w.lackSince, now)
	if now-w.lackSince >= maxRoomGap {
		w.besideSince = 0
	}
}

// end forgets a job that has started, and returns how long it has waited.
func (r *waitRecorder) end(job modeler.JobID, now timekeeper.Millis) (waited timekeeper.Millis, known bool) {
	w, known := r.jobs[job]
	if !known {
		return 0, false
	}
	delete(r.jobs, job)
	return now - w.since, true
}

// reportDue reports whether the last report is long enough ago for another.
func (r *waitRecorder) reportDue(now timekeeper.Millis) bool {
	return r.reportedAt == 0 || now-r.reportedAt >= waitReportInterval
}

// observeRoom updates how many times over the demands of the jobs that wait fit.
func (r *waitRecorder) observeRoom(now timekeeper.Millis, timesOver func(planner.Wait) int) {
	for _, w := range r.jobs {
		w.room = timesOver(w.Wait)
		switch {
		case w.room < 2 || w.Cause == planner.CauseStopping: // a run that is being stopped still holds its room
			w.twiceSince = 0
		case w.twiceSince == 0:
			w.twiceSince = now
		}
	}
}

// report returns what is to be published now, or false if the last report is too recent. Of the lines that are due it
// returns maxWaitLines at most: those of jobs for which there is room first, and then those that have waited longest.
func (r *waitRecorder) report(now timekeeper.Millis) (waitReport, bool) {
	if !r.reportDue(now) {
		return waitReport{}, false
	}
	r.reportedAt = now
	report := waitReport{counts: map[planner.Cause]int{}}
	var due []*jobWait
	for _, w := range r.jobs {
		if now-w.since >= longWait {
			report.counts[w.Cause]++
		}
		if w.due(now) {
			due = append(due, w)
		}
	}
	slices.SortFunc(due, compareWaits)
	for _, w := range due[:min(len(due), maxWaitLines)] {
		w.loggedAt, w.logged, w.loggedHeld = now, w.Cause, w.heldBack(now)
		report.lines = append(report.lines, *w)
	}
	return report, true
}

func compareWaits(a, b *jobWait) int {
	if a.Cause.HasRoom() != b.Cause.HasRoom() {
		if a.Cause.HasRoom() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.Job, b.Job))
}

// publishWaits logs and counts the jobs that have waited long after a plan with the given input and starts.
func (c *Coordinator) publishWaits(in planner.Input, starts []tracker.Start, now timekeeper.Millis) {
	if !c.waits.reportDue(now) {
		return
	}
	c.waits.observeRoom(now, newRoomView(in, starts).timesOver)
	report, _ := c.waits.report(now)
	for _, cause := range planner.Causes() {
		c.meter.GaugeOf("jobs_waiting", cause.String(), float64(report.counts[cause]))
	}
	if len(report.lines) == 0 {
		return
	}
	free := freeShares(in.State)
	for _, w := range report.lines {
		c.logWait(in.State, w, now, free)
	}
}

func (c *Coordinator) logWait(state tracker.State, w jobWait, now timekeeper.Millis, free map[string]freeShare) {
	event := logger.JobWaits
	if w.heldBack(now) {
		event = logger.JobHeldBack
	}
	fields := []logger.Field{
		logger.F("job", string(w.Job)), logger.F("queue", w.Queue), logger.F("cause", w.Cause.String()), logger.F("waited", now-w.since),
		logger.F("tasks", w.Tasks), logger.F("accelerators", w.Need.Accelerators), logger.F("millicores", w.Need.MilliCores),
		logger.F("memory", w.Need.MemoryMB), logger.F("room", w.room), logger.F("state", state.Index),
	}
	if w.Holder != "" {
		fields = append(fields, logger.F("holder", string(w.Holder)))
	}
	if w.Worker != "" {
		fields = append(fields, logger.F("worker", w.Worker))
	}
	if q, ok := state.Queue(w.Queue); ok {
		f := free[q.Service]
		fields = append(fields, logger.F("free", f.weight), logger.F("free-cores", f.cores), logger.F("free-memory", f.memory),
			logger.F("free-accelerators", f.accelerators))
		if w.Cause.HasRoom() && f.weight >= idleShare {
			event = logger.JobHeldBack
		}
	}
	c.log.Log(event, fields...)
}

// endWait forgets a job that has started and records how long it has waited. It returns the fields for the line about
// the start.
func (c *Coordinator) endWait(state tracker.State, job modeler.JobID) []logger.Field {
	waited, known := c.waits.end(job, c.clock.Now())
	if !known {
		return nil
	}
	if j, ok := state.Job(job); ok {
		c.meter.Observe("job_wait", j.Workspace, j.Queue, waited.Duration())
	}
	return []logger.Field{logger.F("waited", waited)}
}

// dropWaits forgets all waits, which are those of another term.
func (c *Coordinator) dropWaits() {
	c.waits = waitRecorder{}
	for _, cause := range planner.Causes() {
		c.meter.GaugeOf("jobs_waiting", cause.String(), 0)
	}
}
