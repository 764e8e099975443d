package logger

import "github.com/phuslu/log"

// Severity tells who should look at an event.
type Severity string

// The severities of events.
const (
	Info    Severity = "info"    // the system's ordinary life
	Warning Severity = "warning" // handled; worth a look when frequent
	Failure Severity = "error"   // needs an operator
)

// Event is a kind of log line. Numbers are never used again for another kind.
type Event struct {
	Number   int
	Severity Severity
	Text     string
	Help     string // what it means and what to do
}

func (e Event) level() log.Level {
	switch e.Severity {
	case Warning:
		return log.WarnLevel
	case Failure:
		return log.ErrorLevel
	}
	return log.InfoLevel
}

var catalogue []Event

func declare(number int, severity Severity, text, help string) Event {
	e := Event{number, severity, text, help}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns every event, by number.
func Catalogue() []Event { return catalogue }

// The events of processes.
var (
	ProcessStarted  = declare(1001, Info, "process started", "Gives the roles and addresses in use.")
	ProcessStopping = declare(1002, Info, "planned stop begun", "The process drains; it ends when nothing is in flight or when the drain time is over.")
	ProcessStopped  = declare(1003, Info, "process stopped", "The last line of a planned stop.")
	ProcessFailed   = declare(1004, Failure, "process failed", "A part of the process ended with an error; the process exits with code 1.")
	SettingsReread  = declare(1005, Info, "token files read", "Gives the number of operator and workspace tokens.")
	SettingsChanged = declare(1006, Info, "settings read again", "The platform's settings file changed; gives the seeds in it.")
)

// The events of control replicas.
var (
	ClusterBootstrapped = declare(2001, Info, "new cluster bootstrapped", "All seats were empty and this one has the lowest address. Seen once in a cluster's life; a second time means that all disks were lost.")
	ReplicaJoining      = declare(2002, Info, "replica asks to join", "The data folder is empty, so that this is a new replica; it votes once it has caught up.")
	LeaderChanged       = declare(2003, Info, "leader changed", "Gives the new term and leader. Frequent changes point to a slow disk or network.")
	MemberAdded         = declare(2004, Info, "learner added", "A replica receives the log without a vote.")
	MemberPromoted      = declare(2005, Info, "learner promoted to voter", "The replica has caught up.")
	MemberRemoved       = declare(2006, Info, "member removed", "By an operator, or because another replica now lives at its address.")
	MembershipFailed    = declare(2007, Warning, "membership change failed", "It is tried again.")
	ReplicaFailed       = declare(2008, Failure, "replica stopped by its disk", "Free or replace the disk; nothing unsynced was acknowledged. With a damaged journal, empty the folder: the replica joins as a new one.")
	AgentLost           = declare(2009, Warning, "agent lost", "Nothing was heard of an agent until its leases had ended; its members count as ended.")
	EntryLost           = declare(2010, Warning, "entry lost", "An entry process ended or was silent past its lease; its unsettled requests are orphaned.")
	RevisionInForce     = declare(2011, Info, "revision in force everywhere", "Gives the revision and the time since it was accepted.")
	ProposalFailed      = declare(2012, Warning, "proposal of the leader failed", "It is tried again in the next round.")

	LeadershipTaken  = declare(2013, Info, "leadership taken", "Gives the term, the index applied and the members. Workers keep their runs until leases of earlier leaders have ended.")
	LeadershipEnded  = declare(2014, Info, "leadership ended", "Another replica leads, or no quorum was heard.")
	ConfigurationSet = declare(2015, Info, "configuration accepted", "Gives the version sent and the version held before; a version that is not newer changes nothing.")
	JobAccepted      = declare(2016, Info, "job accepted", "It is committed; gives queue, workspace, steps and work.")
	JobRefused       = declare(2017, Info, "job refused", "Nothing was stored and nothing will run; gives the reason.")
	JobCancelled     = declare(2018, Info, "job cancelled", "Its runs are being stopped.")
	RunAssigned      = declare(2019, Info, "run assigned", "Gives the worker, the state decided on and the index of the decision.")
	RunStopping      = declare(2020, Info, "run to be stopped", "To make room for work of a higher rank, or because it stands still or its worker leaves.")
	RunEnded         = declare(2021, Info, "run ended", "Gives the worker, the kind of end and the number under which the runner lists it.")
	WorkerAttached   = declare(2022, Info, "worker attached", "Gives the fencing token, the runner's life and what it offers.")
	WorkerDetached   = declare(2023, Warning, "worker detached", "Its runner left or its lease ended; its runs are lost and start again elsewhere.")
	WorkerDraining   = declare(2024, Info, "worker draining", "No run is started there any more.")
	WorkerAvoided    = declare(2025, Warning, "worker avoided", "Runs of several jobs failed, hung or were slow there.")
	JobUncertain     = declare(2026, Warning, "outcome not known", "The command may or may not be committed; the caller sends it again.")
)

// The events of entries.
var (
	EntryReady       = declare(3001, Info, "entry serves", "The state was confirmed by a quorum and the configuration lease is held.")
	EntryNotReady    = declare(3002, Warning, "entry stopped serving", "Its configuration lease has ended or the process stops; the balancer is told.")
	FollowLost       = declare(3003, Warning, "log stream lost", "The entry goes to another control replica.")
	AgentAttached    = declare(3004, Info, "agent attached", "Gives the agent and its incarnation.")
	AgentDetached    = declare(3005, Info, "agent stream ended", "The agent goes to another entry, or has ended.")
	AnswerMismatched = declare(3006, Warning, "answer discarded", "A backend server gave the answer of another request, or one that was cut short. Its connection was closed.")
	RequestUnsettled = declare(3007, Warning, "request ended without proof", "The caller was told that it is not known whether the request ran.")
	ReportFailed     = declare(3008, Warning, "report not recorded", "A member's report could not be committed now; it is sent again.")
	BreakerOpened    = declare(3009, Warning, "backend server avoided", "Several requests in a row failed there; it is tried again after a pause.")
	BreakerClosed    = declare(3010, Info, "backend server used again", "A trial request succeeded.")
)

// The events of agents.
var (
	AgentAttaching    = declare(4001, Info, "attached to entry", "Gives the entry's address.")
	EntryUnreachable  = declare(4002, Warning, "entry unreachable", "The agent tries the next one.")
	MembersArmed      = declare(4003, Info, "members armed", "Accelerators are held; nothing runs yet.")
	MembersStarted    = declare(4004, Info, "members started", "Every member of the gang is armed and the start is committed.")
	MembersEnded      = declare(4005, Info, "members ended", "Gives the outcome.")
	MembersFenced     = declare(4006, Warning, "members stopped by their lease", "The lease was not renewed in time, here or at another member of the gang.")
	WorkerCallFailed  = declare(4007, Warning, "call of the worker interface failed", "The agent tries again; when the lease ends the platform stops the task itself.")
	RunnerAnnounced   = declare(4008, Info, "backend server announced itself", "Gives its address and slots.")
	RunnerLeaving     = declare(4009, Info, "backend server is leaving", "It gets no new requests; those in flight end.")
	RunnerSilent      = declare(4010, Warning, "backend server silent", "It did not renew its announcement; it gets no new requests.")
	StrayTasksStopped = declare(4011, Warning, "stray tasks stopped", "Tasks of an earlier agent process were still running.")

	RunnerAttached   = declare(4012, Info, "runner attached", "Gives its life and the fencing token of the attachment.")
	RunnerReplaced   = declare(4013, Info, "runner has another life", "It holds nothing of before; the agent attaches anew.")
	RunnerDraining   = declare(4014, Info, "runner is draining", "The agent starts nothing there any more.")
	RunnerLeft       = declare(4015, Info, "runner has left", "Nothing runs there any more.")
	RunStarted       = declare(4016, Info, "run started", "The runner confirmed the start.")
	RunStopped       = declare(4017, Info, "run stopped", "The runner confirmed the order to stop; its end follows.")
	RunRejected      = declare(4018, Warning, "start rejected", "The runner did nothing; gives its reason.")
	RunnerCallFailed = declare(4019, Warning, "call of the runner failed", "The order may be carried out all the same; it is sent again.")
	AttachmentLost   = declare(4020, Warning, "attachment no longer holds", "The leader gave the worker up or another process attached; the agent attaches anew.")
	LeaderFound      = declare(4021, Info, "control leader found", "Gives its address.")
	ReplicasTold     = declare(4024, Info, "replicas told", "Another process told who the replicas are; gives leader, term, revision of the membership and addresses.")
	LeaderLost       = declare(4022, Warning, "control leader lost", "No replica that leads answers; gives the time since the last answer.")
	AnnouncementBad  = declare(4023, Warning, "announcement not understood", "It names no runner to use; gives the reason.")
)

// The events of the callers' side of entries on the platform.
var (
	CallAnswered         = declare(3011, Info, "call answered", "Gives method, job, queue, status and time taken.")
	CallFailed           = declare(3012, Warning, "call not decided", "No leader answered in time; the caller sends the call again under the same id.")
	ConfigurationRefused = declare(3014, Info, "configuration refused", "It cannot be read or contradicts itself; nothing changed.")
	SettingsRefused      = declare(3015, Warning, "settings refused", "The settings file cannot be used; the process goes on with those it has.")
	LinesDropped         = declare(3013, Warning, "log lines dropped", "Standard output was not read fast enough; gives the number left out.")
)
