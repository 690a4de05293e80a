//! What the log and the workers say of each task, and the figures drawn from it.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount};
use pimentochute_work::{
    AdviceCommand, AdviceRow, JobCode, JobCrashes, JobEnd, JobProgress, RecordKind, RecordWrite,
    StartCommand, StepName, TaskName, TaskPhase, decode_record,
};

use super::adviser::is_eligible;
use super::calls::CallLedger;
use super::fleet::DOWN_TIME;
use super::gangs::GangWatch;
use super::ideal::{self, GangNeed};
use super::load::{SimulatedJob, WORKER_CAPACITY};
use super::report::{BacklogReport, SecondRow, TrialFigures};

/// A run is known to do no harm once its worker has answered this long after the start.
const START_CRASH_WINDOW: MilliSpan = MilliSpan::new(100);

/// The number of crashes after which the platform counts further starts of a task.
const COUNTED_CRASHES: u32 = 3;

/// From this number of losses on, a suspect stays apart until it ends.
const SUSPECT_LOSSES: u32 = 3;

/// The part of the workers, as a divisor, that the owner uses for trials at least.
const MAX_APART_DIVISOR: usize = 12;

/// How long a task that was the only suspect on a crashed worker waits for one without
/// runs.
const VACANT_WAIT: MilliSpan = MilliSpan::new(30_000);

/// What is known of all jobs.
#[derive(Debug)]
pub(super) struct TaskLedger {
    start: MilliTime,
    /// The number of workers that are up if none has crashed.
    fleet_size: usize,
    jobs: BTreeMap<JobCode, JobEntry>,
    /// The jobs without a recorded end.
    open: BTreeSet<JobCode>,
    /// The workers in the platform's list that have not crashed, with their last answer.
    workers: BTreeMap<String, MilliTime>,
    /// The tickets of steps with suspects, by worker: until when they are valid.
    tickets: BTreeMap<StepName, BTreeMap<String, MilliTime>>,
    /// The number of calls for advice without an answer.
    open_calls: BTreeMap<StepName, u32>,
    /// The waits of sound tasks that have ended: since when, until when, and whether the
    /// task was a suspect.
    waits: Vec<(MilliTime, MilliTime, bool)>,
    /// The last crash that was not due to a suspect.
    last_crash: Option<MilliTime>,
    sums: SecondSums,
    trials: Vec<TrialEntry>,
    /// The gangs that have room and do not start.
    watch: GangWatch,
    /// The end of the traffic.
    traffic_end: MilliTime,
    /// The gangs that waited then, and when they have started.
    backlog: BTreeMap<StepName, Option<MilliTime>>,
    calls: CallLedger,
    /// When the owner had its first answer to a poll.
    first_poll: Option<MilliTime>,
    report: BacklogReport,
}

/// What is known of a job.
#[derive(Debug)]
struct JobEntry {
    job: SimulatedJob,
    /// Ordered by step and index.
    tasks: Vec<TaskEntry>,
    /// The index of the first task of each step.
    offsets: Vec<usize>,
    end: Option<(JobEnd, MilliTime)>,
    was_suspect: bool,
}

/// What is known of a task.
#[derive(Debug, Clone, Default)]
struct TaskEntry {
    phase: TaskPhase,
    is_suspect: bool,
    was_suspect: bool,
    losses: u32,
    sole_losses: u32,
    /// When the task last became a suspect.
    suspect_since: MilliTime,
    /// Since when the task waits, by its turn or the end of its run on a worker; `None`
    /// while it runs and once it is done.
    waits_since: Option<MilliTime>,
    is_done: bool,
    /// When the last start was sent, and when it was answered.
    sent_at: Option<MilliTime>,
    answered_at: Option<MilliTime>,
    /// The crashes of workers under the task.
    crashes: u32,
    /// Those in which no other job on the worker was suspect or had just started.
    sole_crashes: u32,
    /// The starts after [`COUNTED_CRASHES`].
    later_starts: u32,
    trial: Option<TrialEntry>,
}

/// A placement of a suspected task.
#[derive(Debug, Clone, Copy)]
struct TrialEntry {
    placed_at: MilliTime,
    sent_at: Option<MilliTime>,
    ended_at: Option<MilliTime>,
    /// The time since the task had become a suspect.
    age: MilliSpan,
    /// The number of suspects that had waited for longer, and of all that waited.
    older: usize,
    waiting: usize,
}

/// A worker with the runs that the log has on it.
#[derive(Debug)]
struct WorkerView {
    /// The worker is listed and has not crashed.
    is_up: bool,
    runs: usize,
    calmness: WorkerCalmness,
    /// A suspect here has run for long enough, and stays apart all the same.
    has_kept_suspect: bool,
    committed: ResourceAmount,
}

/// Whether a suspect may start on a worker, by the run there that prevents it most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WorkerCalmness {
    /// All runs have shown that they do no harm.
    Calm,
    /// The worker has not answered for long enough after a start.
    RecentStart,
    /// A run that is no suspect has lost a worker before.
    LostBefore,
    /// A suspect is placed here.
    InTrial,
}

/// Sums over the samples of a second.
#[derive(Debug, Default)]
struct SecondSums {
    samples: usize,
    row: SecondRow,
}

impl TaskLedger {
    pub(super) fn new(start: MilliTime, fleet_size: usize) -> Self {
        Self {
            start,
            fleet_size,
            jobs: BTreeMap::new(),
            open: BTreeSet::new(),
            workers: BTreeMap::new(),
            tickets: BTreeMap::new(),
            open_calls: BTreeMap::new(),
            waits: Vec::new(),
            last_crash: None,
            sums: SecondSums::default(),
            trials: Vec::new(),
            watch: GangWatch::default(),
            traffic_end: start,
            backlog: BTreeMap::new(),
            calls: CallLedger::default(),
            first_poll: None,
            report: BacklogReport::default(),
        }
    }

    /// Returns the ledger with the time at which the last job has arrived.
    pub(super) fn with_traffic_end(mut self, at: MilliTime) -> Self {
        self.watch = GangWatch::new(at);
        self.traffic_end = at;
        self
    }

    pub(super) fn add_job(&mut self, code: JobCode, job: SimulatedJob) {
        let mut offsets = Vec::new();
        let mut tasks = 0;
        for step in &job.submission.spec.steps {
            offsets.push(tasks);
            tasks += step.tasks as usize;
        }
        let mut entry = JobEntry {
            tasks: vec![TaskEntry::default(); tasks],
            offsets,
            end: None,
            was_suspect: false,
            job,
        };
        entry.begin_step(0, entry.job.submission.received);
        self.open.insert(code);
        self.jobs.insert(code, entry);
    }

    pub(super) fn job(&self, code: JobCode) -> &SimulatedJob {
        &self.jobs[&code].job
    }

    /// Notes the gangs that wait at the end of the traffic. `hosts` pass calls on.
    pub(super) fn traffic_ended(&mut self, hosts: usize) {
        let workers: Vec<_> = self.workers.keys().cloned().collect();
        let mut needs = Vec::new();
        for code in &self.open {
            let entry = &self.jobs[code];
            let gang = entry.waiting_gang(*code);
            let gang = gang.filter(|_| !entry.has_unplaceable_gang(*code, &workers));
            if let Some(name) = gang {
                let spec = &entry.job.submission.spec.steps[usize::from(name.step)];
                needs.push(GangNeed {
                    tasks: spec.tasks,
                    demand: spec.demand,
                    estimate: spec.estimate,
                    advice: entry.job.submission.terms.advice_cost(),
                    eligible_percent: entry.job.eligible_percent,
                });
                self.backlog.insert(name, None);
            }
        }
        self.report.backlog.ideal = ideal::ideal_time(&needs, self.fleet_size, hosts);
    }

    /// Returns whether all jobs have ended.
    pub(super) fn is_finished(&self) -> bool {
        self.open.is_empty()
    }

    pub(super) fn worker_listed(&mut self, id: &str) {
        self.workers.insert(id.to_owned(), MilliTime::ZERO);
    }

    pub(super) fn poll_answered(&mut self, id: &str, now: MilliTime) {
        self.first_poll.get_or_insert(now);
        self.worker_answered(id, now);
    }

    pub(super) fn worker_answered(&mut self, id: &str, now: MilliTime) {
        if let Some(last) = self.workers.get_mut(id) {
            *last = now;
        }
    }

    /// Applies a record of a batch that the owner takes now.
    pub(super) fn apply_write(&mut self, write: &RecordWrite, now: MilliTime) {
        if write.value.is_empty() {
            return;
        }
        match write.kind {
            // The jobs of the model fit into one record, and nobody cancels them.
            RecordKind::Submission | RecordKind::ProgressPart(_) | RecordKind::Cancellations => {}
            RecordKind::Progress => {
                let progress = decode_record(&write.value).expect("the record should decode");
                self.apply_progress(write.job, progress, now);
            }
            RecordKind::Crashes => {
                let crashes = decode_record(&write.value).expect("the record should decode");
                self.apply_crashes(write.job, &crashes, now);
            }
        }
    }

    fn apply_progress(&mut self, code: JobCode, progress: JobProgress, now: MilliTime) {
        let has_trials = progress
            .tasks
            .iter()
            .any(|row| matches!(row.phase, TaskPhase::Placed { .. }));
        let since = if has_trials && self.jobs[&code].was_suspect {
            self.waiting_since()
        } else {
            Vec::new()
        };
        let entry = self.jobs.get_mut(&code).expect("the job should be known");
        if let Some(end) = progress.end
            && entry.end.is_none()
        {
            entry.end = Some((end, now));
            for task in &mut entry.tasks {
                task.waits_since = None;
            }
            self.open.remove(&code);
        }
        for (task, row) in entry.tasks.iter_mut().zip(progress.tasks) {
            let is_placed = matches!(row.phase, TaskPhase::Placed { .. });
            let was_placed = matches!(task.phase, TaskPhase::Placed { .. });
            if is_placed && task.phase != row.phase {
                task.sent_at = None;
                task.answered_at = None;
                if task.is_suspect {
                    let older = since.iter().filter(|at| **at < task.suspect_since);
                    task.trial = Some(TrialEntry {
                        placed_at: now,
                        sent_at: None,
                        ended_at: None,
                        age: now.since(task.suspect_since),
                        older: older.count(),
                        waiting: since.len(),
                    });
                }
            }
            if was_placed && task.phase != row.phase {
                // A run ended, or its task waits again.
                let trial = if is_placed { None } else { task.trial.take() };
                if let Some(mut trial) = trial {
                    trial.ended_at = Some(now);
                    self.trials.push(trial);
                }
            }
            task.phase = row.phase;
        }
    }

    fn apply_crashes(&mut self, code: JobCode, crashes: &JobCrashes, now: MilliTime) {
        let entry = self.jobs.get_mut(&code).expect("the job should be known");
        for row in &crashes.tasks {
            let task = &mut entry.tasks[row.task as usize];
            task.losses = row.losses;
            task.sole_losses = row.sole_losses;
            if row.is_suspect && !task.is_suspect {
                task.suspect_since = now;
                self.report.suspects += u64::from(!task.was_suspect);
                task.was_suspect = true;
            }
            entry.was_suspect |= row.is_suspect;
            if task.is_suspect
                && !row.is_suspect
                && let Some(mut trial) = task.trial.take()
            {
                trial.ended_at = Some(now);
                self.trials.push(trial);
            }
            task.is_suspect = row.is_suspect;
        }
    }

    /// Returns since when each waiting suspect has been one.
    fn waiting_since(&self) -> Vec<MilliTime> {
        let jobs = self.open.iter().map(|code| &self.jobs[code]);
        let tasks = jobs.flat_map(|entry| &entry.tasks);
        let waiting = tasks.filter(|task| task.is_waiting_suspect());
        waiting.map(|task| task.suspect_since).collect()
    }

    fn task_mut(&mut self, name: TaskName) -> &mut TaskEntry {
        let entry = self
            .jobs
            .get_mut(&name.job)
            .expect("the job should be known");
        let index = entry.offsets[usize::from(name.step)] + name.index as usize;
        &mut entry.tasks[index]
    }

    pub(super) fn start_sent(&mut self, command: &StartCommand, now: MilliTime) {
        if self.is_gang(command.task.step_name()) {
            let step = command.task.step_name();
            self.calls.ticket_used(step, &command.target.id);
        }
        let is_deadly = self.job(command.task.job).is_deadly;
        let task = self.task_mut(command.task);
        task.sent_at = Some(now);
        if let Some(trial) = &mut task.trial {
            trial.sent_at = Some(now);
        }
        let (is_suspect, is_late) = (task.is_suspect, task.crashes >= 2);
        task.later_starts += u32::from(task.crashes >= COUNTED_CRASHES);
        self.report.late_deadly_starts += u64::from(is_deadly && is_late);
        if is_suspect {
            self.sums.row.trials += 1;
            let tickets = self.tickets.get_mut(&command.task.step_name());
            if tickets.is_some_and(|tickets| tickets.remove(&command.target.id).is_some()) {
                self.report.used_tickets += 1;
            }
        }
    }

    pub(super) fn start_answered(&mut self, command: &StartCommand, now: MilliTime) {
        self.worker_answered(&command.target.id, now);
        let task = self.task_mut(command.task);
        task.answered_at.get_or_insert(now);
    }

    pub(super) fn run_started(&mut self, name: TaskName, is_double: bool, now: MilliTime) {
        self.report.double_runs += u64::from(is_double);
        if let Some(started) = self.backlog.get_mut(&name.step_name()) {
            started.get_or_insert(now);
        }
        let is_deadly = self.job(name.job).is_deadly;
        let task = self.task_mut(name);
        let was_suspect = task.is_suspect;
        if let Some(since) = task.waits_since.take()
            && !is_deadly
        {
            self.waits.push((since, now, was_suspect));
        }
    }

    pub(super) fn run_broken(&mut self, name: TaskName, now: MilliTime) {
        let has_ended = self.jobs[&name.job].end.is_some();
        let task = self.task_mut(name);
        if !task.is_done && !has_ended {
            task.waits_since.get_or_insert(now);
        }
    }

    pub(super) fn run_done(&mut self, name: TaskName, now: MilliTime) {
        let task = self.task_mut(name);
        task.is_done = true;
        task.waits_since = None;
        let entry = self.jobs.get_mut(&name.job).expect("the job is known");
        let step = usize::from(name.step);
        if entry.step_tasks(step).iter().all(|task| task.is_done) {
            entry.begin_step(step + 1, now);
        }
    }

    pub(super) fn worker_crashed(
        &mut self,
        worker: &str,
        culprit: TaskName,
        lost: &[(TaskName, MilliSpan)],
        now: MilliTime,
    ) {
        self.workers.remove(worker);
        if !self.task_mut(culprit).is_suspect {
            self.last_crash = Some(now);
        }
        self.report.crashes += 1;
        self.sums.row.crashes += 1;
        let others = lost.iter().filter(|(task, _)| task.job != culprit.job);
        let is_sole = others.into_iter().all(|(task, ran)| {
            let is_suspect = self.task_mut(*task).is_suspect;
            !is_suspect && *ran >= START_CRASH_WINDOW
        });
        for (name, _) in lost {
            let task = self.task_mut(*name);
            task.crashes += 1;
            task.sole_crashes += u32::from(is_sole && name.job == culprit.job);
            self.run_broken(*name, now);
        }
    }

    pub(super) fn advice_requested(&mut self, command: &AdviceCommand) {
        *self.open_calls.entry(command.step).or_default() += 1;
        if self.has_waiting_suspects(command.step) {
            self.report.suspect_calls += 1;
        }
    }

    /// Notes a call that takes the service the time `served`.
    pub(super) fn call_made(&mut self, command: &AdviceCommand, served: MilliSpan) {
        if self.is_gang(command.step) {
            self.calls.call_made(served);
        }
    }

    pub(super) fn advice_answered(
        &mut self,
        command: &AdviceCommand,
        answer: Option<&[AdviceRow]>,
        now: MilliTime,
    ) {
        let until = now + command.cost.validity;
        if self.is_gang(command.step) {
            match answer {
                Some(rows) => self.calls.answer_received(command.step, rows, until),
                None => self.calls.call_given_up(),
            }
        }
        let rows = answer.unwrap_or_default();
        if let Some(open) = self.open_calls.get_mut(&command.step) {
            *open -= 1;
        }
        if !self.has_waiting_suspects(command.step) {
            return;
        }
        self.report.tickets += rows.len() as u64;
        self.report.empty_answers += u64::from(rows.is_empty());
        let tickets = self.tickets.entry(command.step).or_default();
        tickets.extend(rows.iter().map(|row| (row.worker.clone(), until)));
    }

    /// Forgets the calls whose answers a new owner does not get.
    pub(super) fn owner_changed(&mut self) {
        self.open_calls.clear();
        self.tickets.clear();
        self.calls.owner_changed();
        self.first_poll = None;
    }

    fn is_gang(&self, step: StepName) -> bool {
        let steps = &self.job(step.job).submission.spec.steps;
        steps[usize::from(step.step)].is_gang
    }

    fn has_waiting_suspects(&self, step: StepName) -> bool {
        let Some(entry) = self.jobs.get(&step.job) else {
            return false;
        };
        let tasks = entry.step_tasks(usize::from(step.step));
        entry.end.is_none() && tasks.iter().any(TaskEntry::is_waiting_suspect)
    }

    /// Adds a sample to the figures of this second.
    pub(super) fn sample(&mut self, now: MilliTime) {
        let mut row = SecondRow::default();
        let workers = self.worker_views();
        for view in workers.values() {
            if !view.is_up {
                row.held_by_crashed += usize::from(view.calmness == WorkerCalmness::InTrial);
                continue;
            }
            row.workers += 1;
            row.held_by_kept += usize::from(view.has_kept_suspect);
            row.vacant += usize::from(view.runs == 0);
            row.used_millis += view.committed.cpu_millis;
            *match view.calmness {
                WorkerCalmness::Calm => &mut row.calm,
                WorkerCalmness::RecentStart => &mut row.with_recent,
                WorkerCalmness::LostBefore => &mut row.with_losers,
                WorkerCalmness::InTrial => &mut row.in_trial,
            } += 1;
        }
        let capacity = row.workers as u64 * WORKER_CAPACITY.cpu_millis;
        let has_room = row.used_millis < capacity / 2;
        let jobs = self.open.iter().filter(|_| has_room);
        let roomy = jobs.filter_map(|code| self.jobs[code].roomy_gang(*code, &workers));
        let roomy = roomy.collect();
        let open = self.open.iter().map(|code| (*code, &self.jobs[code]));
        for (code, entry) in open.filter(|(_, entry)| entry.was_suspect) {
            row.ideal = row.ideal + entry.shortest_trials();
            for step in 0..entry.offsets.len() {
                self.sample_step(code, entry, step, &workers, now, &mut row);
            }
        }
        self.watch.sample(&roomy, now);
        let fleet_millis = row.ideal.as_millis() / (self.fleet_size as u64).max(1);
        row.ideal = MilliSpan::new(fleet_millis);
        row.limit = (row.workers / MAX_APART_DIVISOR).max(row.vacant - row.vacant / 4);
        row.limit = row.limit.max(1);
        self.sums.add(&row);
        if now.since(self.start).as_millis().is_multiple_of(1_000) {
            let second = now.since(self.start).as_millis() / 1_000;
            self.report.seconds.push(self.sums.take(second));
        }
    }

    /// Returns the workers with the runs that the log has on them.
    fn worker_views(&self) -> BTreeMap<&str, WorkerView> {
        let listed = self.workers.iter();
        let mut views: BTreeMap<&str, WorkerView> = listed
            .map(|(id, _)| (id.as_str(), WorkerView::new(true)))
            .collect();
        for code in &self.open {
            let entry = &self.jobs[code];
            for (step_index, step) in entry.job.submission.spec.steps.iter().enumerate() {
                for task in entry.step_tasks(step_index) {
                    let TaskPhase::Placed { worker, .. } = &task.phase else {
                        continue;
                    };
                    let last_answer = self.workers.get(worker).copied().unwrap_or_default();
                    let view = views.entry(worker).or_insert(WorkerView::new(false));
                    view.runs += 1;
                    view.calmness = view.calmness.max(task.calmness(last_answer));
                    view.has_kept_suspect |= task.is_suspect
                        && task.losses >= SUSPECT_LOSSES
                        && task.answered_for(last_answer) >= START_CRASH_WINDOW;
                    view.committed += step.demand;
                }
            }
        }
        views
    }

    fn sample_step(
        &self,
        code: JobCode,
        entry: &JobEntry,
        step: usize,
        workers: &BTreeMap<&str, WorkerView>,
        now: MilliTime,
        row: &mut SecondRow,
    ) {
        let tasks = entry.step_tasks(step).iter();
        let suspects: Vec<_> = tasks.filter(|task| task.is_waiting_suspect()).collect();
        if suspects.is_empty() {
            return;
        }
        let needs_vacant =
            |task: &TaskEntry| task.sole_losses > 0 && now.since(task.suspect_since) < VACANT_WAIT;
        let name = StepName {
            job: code,
            occurrence: 0,
            step: u16::try_from(step).unwrap_or(u16::MAX),
        };
        let demand = entry.job.submission.spec.steps[step].demand;
        let tickets = self.tickets.get(&name).into_iter().flatten();
        let valid: Vec<_> = tickets.filter(|(_, until)| **until > now).collect();
        let takes = |task: &TaskEntry, view: &WorkerView| {
            let free = WORKER_CAPACITY.saturating_sub(&view.committed);
            view.is_up
                && view.calmness == WorkerCalmness::Calm
                && demand.fits_within(&free)
                && (view.runs == 0 || !needs_vacant(task))
        };
        let is_ready = valid.iter().any(|(worker, _)| {
            let view = workers.get(worker.as_str());
            view.is_some_and(|view| suspects.iter().any(|task| takes(task, view)))
        });
        row.waiting += suspects.len();
        row.waiting_sound += if entry.job.is_deadly {
            0
        } else {
            suspects.len()
        };
        row.needs_vacant += suspects.iter().filter(|task| needs_vacant(task)).count();
        row.steps += 1;
        row.with_tickets += usize::from(!valid.is_empty());
        row.ready += usize::from(is_ready);
        row.with_calls += usize::from(self.open_calls.get(&name).is_some_and(|open| *open > 0));
    }

    /// Returns the figures of the whole simulation, at whose end the `listed` workers exist.
    pub(super) fn into_report(mut self, now: MilliTime, listed: &[String]) -> BacklogReport {
        let left = self.jobs.iter().filter(|(_, entry)| entry.end.is_none());
        let unplaceable = left.filter(|(code, entry)| {
            !entry.job.is_deadly && entry.has_unplaceable_gang(**code, listed)
        });
        self.report.unplaceable_left = unplaceable.count() as u64;
        let last_crash = self.last_crash.unwrap_or(self.start);
        for entry in self.jobs.values() {
            let is_sound = !entry.job.is_deadly;
            for task in &entry.tasks {
                self.report.max_later_starts = self.report.max_later_starts.max(task.later_starts);
                if !is_sound {
                    self.report.max_sole_crashes =
                        self.report.max_sole_crashes.max(task.sole_crashes);
                    self.report.max_deadly_crashes =
                        self.report.max_deadly_crashes.max(task.crashes);
                }
            }
            match entry.end {
                Some((JobEnd::Failed, _)) if is_sound => self.report.sound_given_up += 1,
                Some((JobEnd::Failed, _)) => self.report.deadly_given_up += 1,
                _ if !is_sound => self.report.deadly_left += 1,
                None => self.report.sound_left += 1,
                Some(_) => {}
            }
            if is_sound && !entry.was_suspect {
                self.report.unsuspected += 1;
                let received = entry.job.submission.received;
                let in_time = entry.end.filter(|(end, at)| {
                    *end == JobEnd::Completed && at.since(received) <= entry.job.useful_for
                });
                self.report.unsuspected_in_time += u64::from(in_time.is_some());
            }
        }
        let mut last_start = last_crash;
        let mut last_suspect_start = last_crash;
        for (since, started, was_suspect) in &self.waits {
            if *since <= last_crash {
                last_start = last_start.max(*started);
                if *was_suspect {
                    last_suspect_start = last_suspect_start.max(*started);
                }
            }
        }
        let sound = self.jobs.values().filter(|entry| !entry.job.is_deadly);
        let tasks = sound.flat_map(|entry| &entry.tasks);
        let left = tasks.filter(|task| task.waits_since.is_some_and(|since| since <= last_crash));
        self.report.never_started = left.count() as u64;
        self.report.last_crash = last_crash.since(self.start);
        self.report.last_sound_start = last_start.since(last_crash);
        self.report.last_suspect_start = last_suspect_start.since(last_crash);
        self.report.length = now.since(self.start);
        self.report.trials = trial_figures(&self.trials);
        self.report.late_gangs = self.watch.into_late();
        let starts = self.backlog.values().flatten();
        let starts = starts.map(|at| at.since(self.traffic_end)).collect();
        self.report.backlog.add_starts(starts);
        self.report.gang_calls = self.calls.into_figures(now);
        self.report.first_poll = self.first_poll.unwrap_or(now).since(self.start);
        self.report
    }
}

impl JobEntry {
    /// Returns whether a gang of the job does not fit on all workers that may run it.
    fn has_unplaceable_gang(&self, code: JobCode, listed: &[String]) -> bool {
        (0u16..)
            .zip(&self.job.submission.spec.steps)
            .filter(|(_, spec)| spec.is_gang)
            .any(|(step, spec)| {
                let name = StepName {
                    job: code,
                    occurrence: 0,
                    step,
                };
                let eligible = listed
                    .iter()
                    .filter(|worker| is_eligible(name, worker, self.job.eligible_percent));
                let per_worker = ideal::task_slots(&spec.demand);
                (eligible.count() as u64) * per_worker < u64::from(spec.tasks)
            })
    }

    /// Returns the gang of the job that waits, with the number of its tasks, if nothing of
    /// the job runs and the workers that may run the gang have room for twice its tasks.
    fn roomy_gang(
        &self,
        code: JobCode,
        workers: &BTreeMap<&str, WorkerView>,
    ) -> Option<(StepName, u32)> {
        let name = self.waiting_gang(code)?;
        let spec = &self.job.submission.spec.steps[usize::from(name.step)];
        let eligible = workers.iter().filter(|(worker, view)| {
            view.is_up && is_eligible(name, worker, self.job.eligible_percent)
        });
        let room = eligible.map(|(_, view)| {
            let free = WORKER_CAPACITY.saturating_sub(&view.committed);
            (free.cpu_millis / spec.demand.cpu_millis).min(free.memory_mib / spec.demand.memory_mib)
        });
        (room.sum::<u64>() >= 2 * u64::from(spec.tasks)).then_some((name, spec.tasks))
    }

    /// Returns the gang of the job that waits, if nothing of the job runs.
    fn waiting_gang(&self, code: JobCode) -> Option<StepName> {
        let runs = |task: &TaskEntry| matches!(task.phase, TaskPhase::Placed { .. });
        if self.tasks.iter().any(runs) {
            return None;
        }
        let steps = self.job.submission.spec.steps.iter().enumerate();
        let mut waiting = steps.filter(|(step, spec)| {
            let mut tasks = self.step_tasks(*step).iter();
            spec.is_gang && tasks.all(|task| task.waits_since.is_some())
        });
        let (step, _) = waiting.next()?;
        Some(StepName {
            job: code,
            occurrence: 0,
            step: u16::try_from(step).unwrap_or(u16::MAX),
        })
    }

    fn step_tasks(&self, step: usize) -> &[TaskEntry] {
        let end = self.offsets.get(step + 1).copied();
        &self.tasks[self.offsets[step]..end.unwrap_or(self.tasks.len())]
    }

    /// Returns for how long the trials of the waiting suspects keep a worker at least: one
    /// crash proves a deadly job guilty, and each sound task has a trial of its own.
    fn shortest_trials(&self) -> MilliSpan {
        let waiting = self.tasks.iter().filter(|task| task.is_waiting_suspect());
        match waiting.count() as u64 {
            0 => MilliSpan::ZERO,
            _ if self.job.is_deadly => DOWN_TIME,
            waiting => MilliSpan::new(waiting * START_CRASH_WINDOW.as_millis()),
        }
    }

    /// Lets the tasks of a step wait, if there is one.
    fn begin_step(&mut self, step: usize, now: MilliTime) {
        let Some(first) = self.offsets.get(step).copied() else {
            return;
        };
        let count = self.step_tasks(step).len();
        for task in &mut self.tasks[first..first + count] {
            task.waits_since = Some(now);
        }
    }
}

impl TaskEntry {
    fn is_waiting_suspect(&self) -> bool {
        self.is_suspect && self.phase == TaskPhase::Waiting
    }

    /// Returns for how long the worker, which last answered at `last_answer`, has answered
    /// after the start of the task.
    fn answered_for(&self, last_answer: MilliTime) -> MilliSpan {
        let since = self.answered_at.unwrap_or(last_answer);
        last_answer.since(since)
    }

    /// Returns what the run of the task means for suspects on its worker, which last
    /// answered at `last_answer`.
    fn calmness(&self, last_answer: MilliTime) -> WorkerCalmness {
        if self.is_suspect {
            WorkerCalmness::InTrial
        } else if self.losses > 0 {
            WorkerCalmness::LostBefore
        } else if self.answered_for(last_answer) < START_CRASH_WINDOW {
            WorkerCalmness::RecentStart
        } else {
            WorkerCalmness::Calm
        }
    }
}

impl WorkerView {
    const fn new(is_up: bool) -> Self {
        Self {
            is_up,
            runs: 0,
            calmness: WorkerCalmness::Calm,
            has_kept_suspect: false,
            committed: ResourceAmount::ZERO,
        }
    }
}

impl SecondSums {
    fn add(&mut self, row: &SecondRow) {
        self.samples += 1;
        let sums = &mut self.row;
        sums.waiting = row.waiting;
        sums.waiting_sound = row.waiting_sound;
        sums.ideal = row.ideal;
        sums.workers += row.workers;
        sums.vacant += row.vacant;
        sums.in_trial += row.in_trial;
        sums.limit += row.limit;
        sums.calm += row.calm;
        sums.with_losers += row.with_losers;
        sums.with_recent += row.with_recent;
        sums.steps += row.steps;
        sums.with_tickets += row.with_tickets;
        sums.with_calls += row.with_calls;
        sums.used_millis += row.used_millis;
        sums.held_by_crashed += row.held_by_crashed;
        sums.held_by_kept += row.held_by_kept;
        sums.needs_vacant += row.needs_vacant;
        sums.ready += row.ready;
    }

    /// Returns the means of the second that ends now.
    fn take(&mut self, second: u64) -> SecondRow {
        let Self { samples, row: sums } = std::mem::take(self);
        let mean = |sum: usize| (sum + samples / 2) / samples.max(1);
        SecondRow {
            second,
            workers: mean(sums.workers),
            vacant: mean(sums.vacant),
            in_trial: mean(sums.in_trial),
            limit: mean(sums.limit),
            calm: mean(sums.calm),
            with_losers: mean(sums.with_losers),
            with_recent: mean(sums.with_recent),
            steps: mean(sums.steps),
            with_tickets: mean(sums.with_tickets),
            with_calls: mean(sums.with_calls),
            used_millis: sums.used_millis / samples.max(1) as u64,
            held_by_crashed: mean(sums.held_by_crashed),
            held_by_kept: mean(sums.held_by_kept),
            needs_vacant: mean(sums.needs_vacant),
            ready: mean(sums.ready),
            ..sums
        }
    }
}

fn trial_figures(trials: &[TrialEntry]) -> TrialFigures {
    let sent = trials.iter().filter(|trial| trial.sent_at.is_some());
    let until_sent = sent.clone().filter_map(|trial| {
        let sent = trial.sent_at?;
        Some(sent.since(trial.placed_at).as_millis())
    });
    let until_end = sent.clone().filter_map(|trial| {
        let (sent, ended) = (trial.sent_at?, trial.ended_at?);
        Some(ended.since(sent).as_millis())
    });
    let ages = sent.clone().map(|trial| trial.age.as_millis());
    let older = sent.clone().filter_map(|trial| {
        let waiting = trial
            .waiting
            .checked_sub(1)
            .filter(|waiting| *waiting > 0)?;
        Some((trial.older * 100 / waiting) as u64)
    });
    TrialFigures {
        placed: trials.len(),
        sent: sent.clone().count(),
        until_sent: quantiles(until_sent.collect()),
        until_end: quantiles(until_end.collect()),
        age: quantiles(ages.collect()),
        older_percent: quantiles(older.collect()),
    }
}

/// Returns the median and the ninth decile.
fn quantiles(mut values: Vec<u64>) -> [u64; 2] {
    values.sort_unstable();
    [50, 90].map(|percent| {
        let index = values.len() * percent / 100;
        values.get(index).copied().unwrap_or(0)
    })
}
