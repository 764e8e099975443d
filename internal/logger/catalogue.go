package logger

import "github.com/phuslu/log"

// Severity says whether an event needs attention from an operator.
type Severity string

// The severities of events.
const (
	Info    Severity = "info"    // normal operation
	Warning Severity = "warning" // handled automatically; investigate if frequent
	Failure Severity = "error"   // needs action by an operator
)

// Event is a kind of log line. The number of a kind is never reused for another.
type Event struct {
	Number   int
	Severity Severity
	Text     string
	Help     string // meaning and recommended action, for docs/events.md
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

// Catalogue returns every event in the order of declaration. Callers must not modify the slice.
func Catalogue() []Event { return catalogue }

// Events of every process.
var (
	ProcessStarted   = declare(1001, Info, "process started", "Gives the roles and the availability zone; on the platform also the addresses of the seeds and whether the whole system starts for the first time.")
	ProcessStopping  = declare(1002, Info, "shutdown started", "The process drains. It exits when nothing is in flight or when the drain time is over.")
	ProcessStopped   = declare(1003, Info, "process stopped", "Last line of a graceful shutdown.")
	ProcessFailed    = declare(1004, Failure, "process failed", "A component ended with an error, or startup or shutdown failed; the process exits with code 1. Fix the cause that the error gives.")
	TokensLoaded     = declare(1005, Info, "token file read", "Gives the number of operator and workspace tokens.")
	SettingsReloaded = declare(1006, Info, "settings reloaded", "The platform's settings file changed or the process received SIGHUP. Gives the seeds in the file.")
)

// Events of control replicas.
var (
	ClusterBootstrapped = declare(2001, Info, "new cluster bootstrapped", "All seats were empty and this replica has the lowest address. Happens once in the lifetime of a cluster; a second time means that all disks were lost.")
	ReplicaJoining      = declare(2002, Info, "replica asks to join", "The data folder is empty, so this is a new replica, or the replica knows no leader. A new replica gets a vote once it has caught up.")
	LeaderChanged       = declare(2003, Info, "leader changed", "Gives the new term and leader. Frequent changes point to a slow disk or network.")
	MemberAdded         = declare(2004, Info, "learner added", "The replica receives the log without a vote.")
	MemberPromoted      = declare(2005, Info, "learner promoted to voter", "The replica has caught up. On the platform, also logged when the leader removes a member; gives the resulting numbers of members and voters.")
	MemberRemoved       = declare(2006, Info, "member removed", "A new replica at its address has caught up and replaces it.")
	MembershipFailed    = declare(2007, Warning, "membership change failed", "The leader retries it.")
	ReplicaFailed       = declare(2008, Failure, "replica stopped by disk error", "The journal could not be opened or written. Free space on the disk or replace it; no entry was acknowledged before it was synced. If the journal is damaged, empty the data folder: the replica then joins as a new one.")
	AgentLost           = declare(2009, Warning, "agent lost", "No heartbeat of the agent arrived until its leases had expired; its members count as ended. Check the agent's host and network.")
	EntryLost           = declare(2010, Warning, "entry lost", "The entry process was restarted, ended, or sent no heartbeat until its lease had expired. Its requests without a recorded outcome are marked orphaned.")
	RevisionInForce     = declare(2011, Info, "revision in force everywhere", "Every entry uses this configuration revision.")
	ProposalFailed      = declare(2012, Warning, "leader's proposal failed", "The command was not confirmed as committed; the leader retries it.")

	LeadershipAcquired    = declare(2013, Info, "leadership acquired", "Gives the term, the commit index and the number of members. No worker loses its runs before leases granted by earlier leaders have expired.")
	LeadershipEnded       = declare(2014, Info, "leadership ended", "Another replica leads, or this replica lost contact with a quorum.")
	ConfigurationAccepted = declare(2015, Info, "configuration accepted", "Gives the version sent and the version held before; a version that is not newer changes nothing.")
	JobAccepted           = declare(2016, Info, "job accepted", "The job is committed. Gives its queue, workspace, number of steps, resource demand and priority.")
	JobRefused            = declare(2017, Info, "job refused", "Nothing was stored and nothing will run. Gives the reason.")
	JobCancelled          = declare(2018, Info, "job cancelled", "Its runs are being stopped.")
	RunAssigned           = declare(2019, Info, "run assigned", "Gives the worker, the log index of the state that the decision was based on, and the log index of the decision, and how long the job has waited if earlier plans did not start it.")
	RunStopping           = declare(2020, Info, "run to be stopped", "Preempted for work of a higher rank, or stopped because it makes no progress or its worker is leaving.")
	RunEnded              = declare(2021, Info, "run ended", "Gives the worker, the kind of end and the number under which the runner lists the end.")
	WorkerAttached        = declare(2022, Info, "worker attached", "Gives the fencing token, the runner's incarnation and capacity, and whether the attachment was accepted.")
	WorkerDetached        = declare(2023, Warning, "worker detached", "Its runner left or its lease expired. Its runs are lost and are started again elsewhere.")
	WorkerDraining        = declare(2024, Info, "worker draining", "No new run is started on it.")
	WorkerAvoided         = declare(2025, Warning, "worker avoided", "Several runs in a row failed, did not start, hung or were slow there, or one failed right after its start. Gives the reason and for how long the worker is avoided. Check the worker if this recurs.")
	CommitUncertain       = declare(2026, Warning, "commit outcome unknown", "The command may or may not be committed. The caller resends it.")
	RefusalWithheld       = declare(2027, Warning, "refusal withheld", "An earlier attempt of the call may have been taken, so the caller is told that its outcome is not known. Gives the outcome that the call would have had.")
	JobWaits              = declare(2028, Info, "job waits", "Nothing of the job, or of a long-running task of it, has run for two seconds or more although a step is ready. Gives the cause, the resources that each of the tasks needs that are placed together, `room`, how many times over they fit on the workers as they are, in any racks, and the free shares of the service in percent: by weight, of cores, memory and accelerators. Causes: `no-room`, `room-reserved` (for the job `holder`), `headroom` (left for urgent work), `parallelism-limit`, `stop-pending` (on `worker`), `queue-unknown`, `workers-avoided` and `workers-unresponsive` (only such workers have room), `not-examined` (too many jobs wait). Written again every five seconds, and when the cause changes.")
	JobHeldBack           = declare(2029, Warning, "job waits beside free room", "As 2028, while there has been room for the job twice over for two seconds, however full the service is, or room once while at least half of it is free. If it recurs, look at the job `holder`, or for 2025 and silent agents.")
	MessagesRefused       = declare(2031, Warning, "replica messages ignored", "No replica that works sends such messages: they are damaged, or another program sends them to the internal port. Gives their number since the last such line. Find the sender.")
	RunNotBegun           = declare(2035, Warning, "run has not begun", "The run has been assigned for more than 1.5 s and its agent does not report it as running. Gives the worker, the time since the assignment and since the agent's last call, and the cause: `not-sent` (the agent has not asked for it), `agent-silent`, `runner-silent`, `start-in-flight`, `start-unanswered`, `no-lease`, `lease-expired`, `no-room`, `runner-unavailable`, `start-refused`, `being-returned` (the agent gives it back), `not-reported` (the agent calls and says nothing of it). Written again every five seconds. Look at 4030 and 4018 of that agent.")
	RunNotEnded           = declare(2042, Warning, "run has not ended", "For more than 3 s the worker has held a run that is to end: it is being stopped, or its task is done through another member of its gang, or its job has ended. Its room is taken until the agent reports the end or the worker is detached. Gives the worker, the time since the leader first saw that the run is to end and since the agent's last call, the state of the job, and the cause: `not-sent` (the agent's present session has not been told of the run, so that it cannot report it), `agent-silent`, `runner-silent`, `not-reported` (the agent was told and reports no end). Written again every five seconds. The job's own lines, 2019 to 2021, tell what became of its other runs; 4012 of that agent, when its session began.")
	StorageFull           = declare(2036, Failure, "no room on the disk", "A write to the data folder was refused since the disk is full; gives what was to be written, the size of the log, of its growth since the last snapshot, of that snapshot and of the disk in bytes, and the number of such lines suppressed. The replica repeats the write and serves again once there is room; until then another replica leads. Free space on the disk: something else fills it, since the log is compacted long before.")
	SnapshotTaken         = declare(2037, Info, "snapshot taken", "The log was compacted. Gives the index of the state, and in bytes the size of the snapshot, of the log before and after, and of the disk.")
	StorageShort          = declare(2038, Warning, "submission refused for lack of room", "The state has grown so far that the disk may have no room for the next snapshot. New jobs and configurations are refused until ended jobs are dropped; nothing that was accepted is lost. Gives the sizes as in 2036. Give the replicas larger disks.")
	ChannelReplaced       = declare(2039, Warning, "replica channel replaced", "A connection to another control replica has not answered a probe in time, so that nothing that was sent on it may have arrived; the next message opens another one. Gives the time since a message was sent on it, since a probe was answered on it, and since the last message from that replica, which uses a connection of its own. If messages arrive and probes are not answered, one direction is dead. If it recurs, check that host and the network.")
	SnapshotNotSent       = declare(2040, Warning, "snapshot not sent", "The snapshot did not reach the other control replica; the leader sends it again. Gives the log index of the snapshot.")
	ElectionLost          = declare(2041, Warning, "election without a majority", "Gives the term, whether it was the vote itself or the question whether one would succeed (`pre-candidate`), and the voters that granted it, refused it, and did not answer. If live voters do not answer, look for 2039 there and here; voters that refuse hear from a leader or have a longer log.")
	RunWithdrawn          = declare(2034, Warning, "run withdrawn", "The worker's agent did not ask for the run within a second, so that it cannot have started. Its task starts again elsewhere. Check the agent's host and its way to the leader if this recurs.")
)

// Events of entries.
var (
	EntryReady            = declare(3001, Info, "entry ready", "A quorum confirmed the entry's state and the entry holds its configuration lease.")
	EntryNotReady         = declare(3002, Warning, "entry not ready", "The configuration lease expired or the process is stopping. The readiness check fails, so the load balancer opens no new connections.")
	LogStreamLost         = declare(3003, Warning, "log stream lost", "The entry reconnects to another control replica.")
	AgentAttached         = declare(3004, Info, "agent attached", "Gives the agent and its incarnation.")
	AgentDetached         = declare(3005, Info, "agent stream closed", "The agent attaches to another entry, or has ended.")
	ResponseDiscarded     = declare(3006, Warning, "response discarded", "A backend server sent the response to another request, or a truncated one. Its connection was closed.")
	RequestOutcomeUnknown = declare(3007, Warning, "request outcome unknown", "The caller was told that it is not known whether the request ran.")
	ReportFailed          = declare(3008, Warning, "report not recorded", "A report of a gang member or the registration of an agent could not be committed; it is sent again.")
	BreakerOpened         = declare(3009, Warning, "backend server avoided", "Several consecutive requests failed there. It gets a trial request after a pause.")
	BreakerClosed         = declare(3010, Info, "backend server used again", "A trial request succeeded.")
)

// Events of agents, of the runners that they control, and of the search for the control leader.
var (
	EntryAttached             = declare(4001, Info, "attached to entry", "Gives the entry's address.")
	EntryUnreachable          = declare(4002, Warning, "entry unreachable", "The stream to the entry could not be opened or failed. The agent tries the next entry after a backoff.")
	MembersArmed              = declare(4003, Info, "members armed", "Accelerators are reserved; nothing runs yet.")
	MembersStarted            = declare(4004, Info, "members started", "Every member of the gang is armed and the start is committed.")
	MembersEnded              = declare(4005, Info, "members ended", "Gives the outcome.")
	MembersFenced             = declare(4006, Warning, "members stopped by lease expiry", "The lease was not renewed in time, here or for another member of the gang.")
	WorkerCallFailed          = declare(4007, Warning, "worker interface call failed", "Gives the call. The agent retries an order to stop; a task that could not be started counts as failed. When the lease expires the platform stops the task itself.")
	RunnerAnnounced           = declare(4008, Info, "backend server announced itself", "Gives its address and slots.")
	RunnerLeaving             = declare(4009, Info, "backend server is leaving", "It gets no new requests; requests in flight finish.")
	RunnerAnnouncementExpired = declare(4010, Warning, "backend server announcement expired", "The backend server did not renew its announcement in time and gets no new requests. Check whether it still runs.")
	LeftoverTasksStopped      = declare(4011, Warning, "leftover tasks stopped", "Tasks of an earlier agent process were still running.")

	RunnerAttached      = declare(4012, Info, "runner attached", "Gives the runner's incarnation and the fencing token of the attachment.")
	RunnerRestarted     = declare(4013, Info, "new runner incarnation", "The runner started or restarted. It has no state of an earlier incarnation; the agent attaches again.")
	RunnerDraining      = declare(4014, Info, "runner draining", "The agent starts nothing there any more.")
	RunnerDeregistered  = declare(4015, Info, "runner deregistered", "Nothing runs there any more.")
	RunnerCrashed       = declare(4033, Warning, "runner crashed", "Nothing has listened at the runner's address for two polls in a row, so that its process has ended without a word. The agent tells the leader, which starts its runs elsewhere at once (2023). Look at the runner's own log.")
	RunStarted          = declare(4016, Info, "run started", "The runner confirmed the start, or lists the run after a start without an answer. Gives the time since the agent received the run.")
	RunStartOverdue     = declare(4030, Warning, "start overdue", "The agent has held the run for a second and the runner has not confirmed the start. Gives the cause, as in 2035, and the number of failed starts. Written once for a run.")
	RunStartedLate      = declare(4031, Warning, "run began late", "The runner confirmed the start, or listed the run, more than a second after the agent received it.")
	RunStopped          = declare(4017, Info, "run stopped", "The runner confirmed the order to stop; the end of the run is reported later.")
	RunRejected         = declare(4018, Warning, "start rejected", "The runner did nothing, or the call failed; gives the runner's verdict or the error. The agent retries the start or reports that the run did not begin.")
	RunnerCallFailed    = declare(4019, Warning, "runner call failed", "The order may have been carried out all the same; it is sent again.")
	ListPartial         = declare(4032, Info, "runner lists its ends in parts", "The runner has more ends than it lists at a time. Gives the number of ends listed and the last one's number. No run counts as lost until the last part has been listed.")
	AttachmentLost      = declare(4020, Warning, "attachment lost", "The leader detached the worker, another process attached to it, or the runner has a new incarnation; also logged when an attempt to attach fails. The agent attaches again.")
	LeaderFound         = declare(4021, Info, "control leader found", "Gives its address.")
	ReplicasReceived    = declare(4024, Info, "replica addresses received", "Another process announced the control replicas. Gives the leader, the term, the revision of the membership and the addresses.")
	LeaderLost          = declare(4022, Warning, "control leader lost", "No control replica answers as leader. Gives the time since the last answer of a leader.")
	AnnouncementInvalid = declare(4023, Warning, "invalid announcement", "The announcement of a runner was acknowledged but ignored. Gives the reason, and how many more were ignored since the line before: there is one line every five seconds at most.")

	CandidateUnconfirmed = declare(4025, Warning, "announced runner not confirmed", "An announcement named another incarnation of the runner, but the runner did not answer as that one; the announcement is ignored. It was delayed, or came from another sender. If it recurs for a runner that works, check the runner.")
)

// Events of the platform's processes: callers' requests, configuration and settings.
var (
	CallAnswered         = declare(3011, Info, "call answered", "Gives the method, host, path, status and time taken. Successful GET requests are not logged.")
	CallUndecided        = declare(3012, Warning, "call not decided", "No leader answered in time; the caller sends the call again under the same id.")
	ConfigurationRefused = declare(3014, Info, "configuration refused", "The document cannot be parsed or is inconsistent; nothing changed.")
	SettingsRefused      = declare(3015, Warning, "settings refused", "The settings file cannot be used. The process keeps its current settings; fix the file.")
	SeedsIgnored         = declare(3016, Warning, "seeds ignored", "These seeds in the settings file are not an IP address and a port; the process uses the others. Fix the file.")
	LinesDropped         = declare(3013, Warning, "log lines dropped", "Standard output was not read fast enough. Gives the number of lines dropped.")
)
