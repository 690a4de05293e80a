//! The figures of a simulation.

use std::fmt;

use pimentochute_base::MilliSpan;

/// The figures of a simulation.
#[derive(Debug, Clone, Default)]
pub struct BacklogReport {
    /// One row for each second.
    pub seconds: Vec<SecondRow>,
    /// The simulated time.
    pub length: MilliSpan,
    /// The number of crashed workers.
    pub crashes: u64,
    /// The time of the last crash that was not due to a suspect, since the start.
    pub last_crash: MilliSpan,
    /// The tasks that became suspects.
    pub suspects: u64,
    /// The time from that crash until the last sound task has started that waited at the
    /// crash, among those that have started at all.
    pub last_sound_start: MilliSpan,
    /// The same for tasks that started as suspects.
    pub last_suspect_start: MilliSpan,
    /// The sound tasks that waited at that crash and have not started since.
    pub never_started: u64,
    /// The sound jobs that were shown as failed.
    pub sound_given_up: u64,
    /// The sound jobs that have not ended.
    pub sound_left: u64,
    /// Those with a gang that does not fit on all workers that may run it.
    pub unplaceable_left: u64,
    /// The deadly jobs that were shown as failed.
    pub deadly_given_up: u64,
    /// The deadly jobs that were not.
    pub deadly_left: u64,
    /// The starts of deadly tasks after their second crash.
    pub late_deadly_starts: u64,
    /// The most crashes of workers under a deadly task.
    pub max_deadly_crashes: u32,
    /// The most crashes of workers on which a deadly job was the only suspect.
    pub max_sole_crashes: u32,
    /// The most starts of a task after its third crash.
    pub max_later_starts: u32,
    /// The starts of tasks that still ran elsewhere.
    pub double_runs: u64,
    /// The sound jobs that never had a suspected task.
    pub unsuspected: u64,
    /// Those that were completed within three times their objective.
    pub unsuspected_in_time: u64,
    /// The calls for advice about steps with waiting suspects.
    pub suspect_calls: u64,
    /// Those that named no worker.
    pub empty_answers: u64,
    /// The tickets for such steps.
    pub tickets: u64,
    /// Those with which a suspect started.
    pub used_tickets: u64,
    /// The placements of suspects.
    pub trials: TrialFigures,
    /// The gangs that the platform counts as lost.
    pub late_gangs: Vec<LateGang>,
    /// The calls for advice about gangs.
    pub gang_calls: CallFigures,
    /// The gangs that wait at the end of the traffic.
    pub backlog: GangBacklog,
    /// When the last owner had its first answer to a poll, since the start.
    pub first_poll: MilliSpan,
}

/// The gangs that wait at the end of the traffic and fit on the workers that may run them.
/// Times count from the end of the traffic.
#[derive(Debug, Clone, Copy, Default)]
pub struct GangBacklog {
    /// The least time until the last one.
    pub ideal: IdealTime,
    /// Until half of them have started; `None` if fewer have.
    pub half_start: Option<MilliSpan>,
    /// Until all of them have started; `None` if some have not.
    pub last_start: Option<MilliSpan>,
    /// Those that have not started.
    pub left: usize,
}

impl GangBacklog {
    /// Adds when gangs have started.
    pub(super) fn add_starts(&mut self, mut starts: Vec<MilliSpan>) {
        starts.sort_unstable();
        let gangs = self.ideal.gangs;
        let start = |count: usize| starts.get(count.checked_sub(1)?).copied();
        self.half_start = start(gangs.div_ceil(2));
        self.last_start = start(gangs);
        self.left = gangs - starts.len();
    }
}

/// Bounds of the time until the last gang of a backlog has started.
#[derive(Debug, Clone, Copy, Default)]
pub struct IdealTime {
    /// The number of gangs.
    pub gangs: usize,
    /// The calls about as many workers as hold the suitable ones that the gangs need, through
    /// all hosts.
    pub calls: MilliSpan,
    /// The same if it is known which workers suit.
    pub known_calls: MilliSpan,
    /// The longest of these calls as a whole.
    pub longest_call: MilliSpan,
    /// The longest one if each is made in parts through all hosts.
    pub shortest_call: MilliSpan,
    /// The runs that are over before the last start, on the whole fleet.
    pub room: MilliSpan,
}

impl IdealTime {
    /// Returns the least time in which nothing is known at first.
    #[must_use]
    pub fn total(&self) -> MilliSpan {
        self.calls.max(self.shortest_call).max(self.room)
    }
}

/// The calls for advice about gangs, in the whole simulation.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallFigures {
    /// Those made, by all owners.
    pub made: u64,
    /// The time for which the service handles them.
    pub served: MilliSpan,
    /// Those without an answer while their owner was in office.
    pub given_up: u64,
    /// The tickets that the owner received.
    pub tickets: u64,
    /// Those with which a task started.
    pub used_tickets: u64,
    /// Those that ended without a start.
    pub unused_tickets: u64,
}

/// A gang that had room for long after the end of the traffic and did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateGang {
    /// The number of the job.
    pub job: u64,
    /// The number of tasks of the gang.
    pub tasks: u32,
    /// Since when it has had room, counted from the end of the traffic. Negative times are
    /// zero.
    pub since: MilliSpan,
    /// For how long it has had room without a start.
    pub stood: MilliSpan,
}

/// The figures of a second: means, or where it is said the number in all or at its end.
#[derive(Debug, Clone, Copy, Default)]
pub struct SecondRow {
    /// The end of the second, since the start.
    pub second: u64,
    /// The waiting suspects at the end.
    pub waiting: usize,
    /// Those of sound jobs.
    pub waiting_sound: usize,
    /// The time that the trials of the waiting suspects take at least at the end, if each
    /// worker tries one after the other.
    pub ideal: MilliSpan,
    /// The starts of suspects in all.
    pub trials: usize,
    /// The crashes in all.
    pub crashes: usize,
    /// The workers that have not crashed.
    pub workers: usize,
    /// Those without runs.
    pub vacant: usize,
    /// Those with a placed suspect.
    pub in_trial: usize,
    /// The number of workers that suspects may use at a time.
    pub limit: usize,
    /// The workers of whose runs none is a suspect, has lost a worker or has just
    /// started.
    pub calm: usize,
    /// The workers with a run that is no suspect but has lost a worker.
    pub with_losers: usize,
    /// The other workers that are neither calm nor in a trial: a run has just started.
    pub with_recent: usize,
    /// The steps with waiting suspects.
    pub steps: usize,
    /// Those with a valid ticket.
    pub with_tickets: usize,
    /// Those with a call for advice in flight.
    pub with_calls: usize,
    /// Those with a valid ticket for a calm worker that has the room.
    pub ready: usize,
    /// The waiting suspects that need a worker without runs.
    pub needs_vacant: usize,
    /// The crashed workers that still hold the place of a trial.
    pub held_by_crashed: usize,
    /// The workers in a trial whose suspect has done no harm, but has lost so many workers
    /// that it stays apart until it ends.
    pub held_by_kept: usize,
    /// The processor capacity that is committed on workers that have not crashed, in
    /// thousandths of a core.
    pub used_millis: u64,
}

/// The placements of suspects. Pairs are the median and the ninth decile.
#[derive(Debug, Clone, Copy, Default)]
pub struct TrialFigures {
    /// All placements that have ended.
    pub placed: usize,
    /// Those whose start was sent.
    pub sent: usize,
    /// The time from the placement until the start was sent, in milliseconds.
    pub until_sent: [u64; 2],
    /// The time from then until the suspect was cleared or its run was lost, in
    /// milliseconds.
    pub until_end: [u64; 2],
    /// The time since the task had become a suspect, in milliseconds.
    pub age: [u64; 2],
    /// The share of the waiting suspects that had waited for longer, in percent.
    pub older_percent: [u64; 2],
}

impl fmt::Display for BacklogReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} suspects, {} crashes; after the last one that was not due to a suspect, at {}, \
             the last sound task that waited has started after {}, and {} have not started; \
             given up: {} sound and {} deadly jobs; not ended: {} and {}",
            self.suspects,
            self.crashes,
            self.last_crash,
            self.last_sound_start,
            self.never_started,
            self.sound_given_up,
            self.deadly_given_up,
            self.sound_left,
            self.deadly_left
        )
    }
}
