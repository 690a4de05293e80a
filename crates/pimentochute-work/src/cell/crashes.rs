//! Losses of workers: which tasks they count against, and where suspected tasks start.

use pimentochute_base::{MilliSpan, MilliTime, ResourceAmount};

use crate::crash::{RunLoss, StartStatus};
use crate::job::{CrashRecord, TaskPlacement};
use crate::worker::WorkerState;
use crate::{JobCode, JobCrashes, JobEnd, JobKey, WorkerKey};

use super::WorkCell;
use super::records::StagedAction;

/// How long a lost worker is remembered, so that its return or its replacement still
/// tells whether it had crashed.
const LOSS_MEMORY: MilliSpan = MilliSpan::new(60_000);

/// How long a worker that takes only suspected tasks may need until it has no other runs.
const EMPTY_TIMEOUT: MilliSpan = MilliSpan::new(4_000);

/// A suspected task starts beside at most this many runs, which its crash would end.
const MAX_TRIAL_NEIGHBOURS: usize = 2;

/// One in this many workers may start suspected tasks at a time, whatever room is free.
const MAX_APART_DIVISOR: usize = 12;

/// One in this many workers may start suspected tasks while no other task that waits can
/// still end in time.
const MAX_LATE_APART_DIVISOR: usize = 2;

/// A worker that may have crashed: its runs were requeued after its lease, or its entry
/// names a later start.
#[derive(Debug)]
pub(super) struct LostWorker {
    /// Only the worker's entry tells of the losses. No job is given up for them before an
    /// answer confirms them, or the lease has expired.
    is_announced: bool,
    id: String,
    address: String,
    /// The start of the lost incarnation.
    started_at: MilliTime,
    lost_at: MilliTime,
    runs: Vec<LostRun>,
}

/// The workers on which suspected tasks are starting.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TrialUsage {
    /// More steps of jobs that can still end in time wait than a few gangs.
    has_on_time_backlog: bool,
    /// The workers that take runs.
    workers: usize,
    /// The workers of which it is not known yet whether a suspect does harm there.
    pub(super) apart: usize,
    /// Those of them that did not answer the last poll, and have probably crashed.
    pub(super) silent: usize,
    /// The further workers on which a suspect stays apart until it ends.
    pub(super) long: usize,
    /// The workers that take runs and have none.
    pub(super) vacant: usize,
    /// The free resources of all workers that take runs.
    free: ResourceAmount,
    /// The capacity of all workers that take runs.
    capacity: ResourceAmount,
}

#[derive(Debug, Clone, Copy)]
struct LostRun {
    job: JobKey,
    index: usize,
    loss: RunLoss,
    /// The task was suspected before the loss.
    was_suspect: bool,
}

impl WorkCell {
    /// Counts the runs of a worker whose entry names a later start as lost. They count as lost
    /// by a crash once an answer shows that the worker has restarted.
    pub(super) fn note_announced_restart(&mut self, worker_key: WorkerKey) {
        let runs = self.lost_runs(worker_key, false);
        let worker = &self.workers[worker_key];
        if runs.is_empty() || worker.report.address.is_empty() {
            return;
        }
        self.lost_workers.push(LostWorker {
            is_announced: true,
            id: worker.report.id.clone(),
            address: worker.report.address.clone(),
            started_at: worker.report.started_at,
            lost_at: self.now,
            runs: runs.clone(),
        });
        for run in runs {
            self.jobs[run.job].tasks[run.index]
                .crashes
                .add_loss(run.loss);
            self.note_loss(run, false);
        }
    }

    /// Lets the losses that a worker's entry has announced count as those of a worker that is
    /// out of reach: no answer has confirmed or refuted them.
    fn count_announced_losses(&mut self, worker_key: WorkerKey) {
        let id = &self.workers[worker_key].report.id;
        let announced = self.lost_workers.iter_mut();
        let announced = announced.filter(|lost| lost.is_announced && lost.id == *id);
        let mut runs = Vec::new();
        for lost in announced {
            lost.is_announced = false;
            runs.extend(lost.runs.iter().copied());
        }
        for run in runs {
            self.withdraw_loss(run);
            self.add_loss(run);
        }
    }

    /// Takes an announced loss out of the history of its task.
    fn withdraw_loss(&mut self, run: LostRun) {
        if let Some(job) = self.jobs.get_mut(run.job) {
            let history = &mut job.tasks[run.index].crashes;
            history.remove_loss(run.loss);
            history.is_suspect &= run.was_suspect;
            job.crash_record = CrashRecord::Outdated;
            self.dirty.insert(run.job);
        }
    }

    /// Adds the loss of a run to the history of its task.
    fn add_loss(&mut self, run: LostRun) {
        let Some(job) = self.jobs.get_mut(run.job) else {
            return;
        };
        let is_guilty = job.tasks[run.index].crashes.add_loss(run.loss);
        self.note_loss(run, is_guilty);
    }

    /// Counts the loss of a worker against the tasks that it ran or may have run.
    pub(super) fn count_loss(&mut self, worker_key: WorkerKey, is_crash: bool) {
        self.count_announced_losses(worker_key);
        let runs = self.lost_runs(worker_key, is_crash);
        let worker = &self.workers[worker_key];
        log::warn!(
            worker:% = worker.report.id,
            crashed = is_crash,
            runs = runs.len(),
            settled = runs.iter().filter(|run| run.loss.start == StartStatus::Settled).count(),
            silence:% = self.now.since(worker.last_answer_at);
            "cell: a worker is lost"
        );
        if !is_crash && !worker.report.address.is_empty() {
            self.lost_workers.push(LostWorker {
                is_announced: false,
                id: worker.report.id.clone(),
                address: worker.report.address.clone(),
                started_at: worker.report.started_at,
                lost_at: self.now,
                runs: runs.clone(),
            });
        }
        for run in runs {
            self.add_loss(run);
        }
    }

    /// Returns the runs of the present incarnation of a worker whose start was sent. The
    /// others were counted with the incarnation that they were lost with.
    fn lost_runs(&self, worker_key: WorkerKey, is_crash: bool) -> Vec<LostRun> {
        let worker = &self.workers[worker_key];
        let sent = worker.runs.iter().filter(|((job, index), run)| {
            let placement = self.jobs[*job].tasks[*index].placement;
            run.order_token.is_some()
                && run.incarnation == worker.incarnation
                && placement == TaskPlacement::Placed(worker_key)
        });
        let runs = sent.map(|((job, index), run)| {
            let start = worker.start_status(run);
            // Nothing starts beside a suspect before its worker has answered the start.
            let is_sole = start == StartStatus::Checked && run.is_calm_start
                || self.is_calm_for(*job, worker);
            LostRun {
                job: *job,
                index: *index,
                loss: RunLoss {
                    is_crash,
                    is_sole,
                    start,
                },
                was_suspect: self.jobs[*job].tasks[*index].crashes.is_suspect,
            }
        });
        runs.collect()
    }

    /// Records what a loss says of a task, and gives its job up if it has to be.
    fn note_loss(&mut self, run: LostRun, is_guilty: bool) {
        let job = &mut self.jobs[run.job];
        job.crash_record = CrashRecord::Outdated;
        self.dirty.insert(run.job);
        job.tasks[run.index].lost_at = self.now;
        let history = job.tasks[run.index].crashes;
        if history.is_suspect {
            self.suspect_jobs.insert(run.job);
        }
        let start_text: &str = run.loss.start.into();
        log::info!(
            task:% = job.name_of(run.index),
            losses = history.losses,
            crashes = history.crashes,
            sole = run.loss.is_sole,
            start = start_text,
            suspect = history.is_suspect;
            "cell: a task lost its worker"
        );
        // The proof of a crash may come after the task has succeeded elsewhere.
        let is_done = job.tasks[run.index].placement == TaskPlacement::Done;
        if is_guilty && !is_done && job.end.is_none() {
            log::warn!(
                job:% = job.code,
                task:% = job.name_of(run.index),
                losses = history.losses,
                crashes = history.crashes;
                "cell: a job failed: one of its tasks crashes its workers"
            );
            self.end_job(run.job, JobEnd::Failed);
        }
    }

    /// Counts a loss as a crash, since a worker that started later has the address or
    /// the identifier of the lost one.
    pub(super) fn confirm_crashes(&mut self, successor: WorkerKey) {
        let report = &self.workers[successor].report;
        let crashed = self.lost_workers.extract_if(.., |lost| {
            let is_same = lost.address == report.address || lost.id == report.id;
            is_same && lost.started_at < report.started_at
        });
        let runs = crashed.flat_map(|lost| {
            let runs = lost.runs.into_iter();
            runs.map(move |run| (run, lost.is_announced))
        });
        let runs: Vec<_> = runs.collect();
        for (mut run, is_announced) in runs {
            if is_announced {
                self.withdraw_loss(run);
                run.loss.is_crash = true;
                self.add_loss(run);
                continue;
            }
            run.loss.is_crash = true;
            let Some(job) = self.jobs.get_mut(run.job) else {
                continue;
            };
            let is_guilty = job.tasks[run.index].crashes.confirm_crash(run.loss);
            self.note_loss(run, is_guilty);
        }
    }

    /// Takes back the loss of a worker that answers again.
    pub(super) fn retract_loss(&mut self, worker_key: WorkerKey) {
        if self.lost_workers.is_empty() {
            return;
        }
        let report = &self.workers[worker_key].report;
        let returned = self.lost_workers.extract_if(.., |lost| {
            lost.id == report.id && lost.started_at == report.started_at
        });
        let runs = returned.flat_map(|lost| {
            let runs = lost.runs.into_iter();
            runs.map(move |run| (run, lost.is_announced))
        });
        let runs: Vec<_> = runs.collect();
        for (run, is_announced) in runs {
            if is_announced {
                self.withdraw_loss(run);
            } else if let Some(job) = self.jobs.get_mut(run.job) {
                job.tasks[run.index].crashes.remove_loss(run.loss);
                job.crash_record = CrashRecord::Outdated;
                self.dirty.insert(run.job);
            }
        }
    }

    /// Forgets the losses that are too old to be confirmed.
    pub(super) fn expire_losses(&mut self) {
        let now = self.now;
        self.lost_workers
            .retain(|lost| now.since(lost.lost_at) < LOSS_MEMORY);
    }

    /// Restores what a previous owner recorded about the tasks of a job. Has to be
    /// called after the submission and before the progress.
    pub fn restore_crashes(&mut self, code: JobCode, record: JobCrashes) {
        let Some(key) = self.job_keys.get(&code).copied() else {
            self.orphaned_crashes.push(code);
            return;
        };
        let job = &mut self.jobs[key];
        job.crash_record = CrashRecord::Current;
        for row in record.tasks {
            match job.tasks.get_mut(row.task as usize) {
                Some(task) => {
                    if row.is_suspect {
                        self.suspect_jobs.insert(key);
                    }
                    task.crashes = row.into();
                    task.lost_at = self.now;
                }
                None => {
                    log::error!(job:% = code, task = row.task; "cell: a crash record names a task that its job does not have");
                }
            }
        }
    }

    /// Lets the suspects of a worker run beside other jobs once the worker has answered
    /// a poll that was sent long enough after their start.
    pub(super) fn clear_suspects(&mut self, worker_key: WorkerKey, poll_sent: MilliTime) {
        let worker = &mut self.workers[worker_key];
        if worker.apart_job.is_none() {
            return;
        }
        for ((job_key, index), run) in &mut worker.runs {
            let job = &mut self.jobs[*job_key];
            let history = &mut job.tasks[*index].crashes;
            let answered = run.acknowledged_at.map(|at| poll_sent.since(at));
            let is_here = run.incarnation == worker.incarnation;
            if is_here
                && run.is_apart
                && answered.is_some_and(|span| history.is_cleared_after(span))
            {
                run.is_apart = false;
                history.is_suspect = false;
                job.crash_record = CrashRecord::Outdated;
                self.dirty.insert(*job_key);
                self.needs_placement = true;
                log::info!(
                    task:% = job.name_of(*index), run = run.number, worker:% = worker.report.id;
                    "cell: a suspected task does no harm"
                );
            }
        }
        worker.update_apart_job();
    }

    /// Keeps the start of a suspected task until its worker has answered the next poll.
    /// Otherwise the crash of an idle worker, of which nothing is known yet, would count
    /// against a task that never started there.
    pub(super) fn hold_start(&mut self, job_key: JobKey, index: usize, worker_key: WorkerKey) {
        let worker = &mut self.workers[worker_key];
        let Some(placed) = worker.runs.get_mut(&(job_key, index)) else {
            return;
        };
        if placed.held_since.is_none() {
            placed.held_since = Some(self.now);
            log::info!(
                task:% = self.jobs[job_key].name_of(index),
                run = placed.number,
                worker:% = worker.report.id;
                "cell: a start waits for an answer of its worker"
            );
        }
        self.poll_soon(worker_key);
    }

    /// Releases the starts that have waited for an answer of a worker. They leave once the
    /// log has that the worker was alive, so that a new owner knows it as well.
    pub(super) fn release_held_starts(&mut self, worker_key: WorkerKey) {
        for (job_key, index) in self.held_runs(worker_key) {
            let worker = &self.workers[worker_key];
            let run = worker.runs[&(job_key, index)];
            if run.waits_for_answer(worker.answered_poll_sent_at, self.now) {
                self.poll_soon(worker_key);
                continue;
            }
            self.note_start_reached((job_key, index), worker_key);
            self.staged.push(StagedAction::Start {
                job: job_key,
                task: index,
                run: run.number,
                worker: worker_key,
            });
        }
    }

    /// Requeues the runs whose starts have waited for an answer of a worker in vain.
    pub(super) fn requeue_held(&mut self, worker_key: WorkerKey) {
        for (job_key, index) in self.held_runs(worker_key) {
            self.requeue_or_free(
                job_key,
                index,
                worker_key,
                "its worker does not answer, so its start was not sent",
            );
        }
    }

    /// Notes that the worker of a suspected task is alive as its start leaves, for this
    /// owner and the next one.
    pub(super) fn note_start_reached(
        &mut self,
        (job_key, index): (JobKey, usize),
        worker_key: WorkerKey,
    ) {
        let runs = &mut self.workers[worker_key].runs;
        let Some(run) = runs.get_mut(&(job_key, index)).filter(|run| run.is_apart) else {
            return;
        };
        run.has_reached_worker = true;
        if !run.is_calm_start {
            return;
        }
        let job = &mut self.jobs[job_key];
        job.tasks[index].crashes.reached_run = run.number;
        job.crash_record = CrashRecord::Outdated;
        self.dirty.insert(job_key);
    }

    fn held_runs(&self, worker_key: WorkerKey) -> Vec<(JobKey, usize)> {
        let runs = self.workers[worker_key].runs.iter();
        runs.filter(|(_, run)| run.held_since.is_some() && !run.has_reached_worker)
            .map(|(task_ref, _)| *task_ref)
            .collect()
    }

    /// Returns whether a worker takes runs of a job: it takes runs at all, and no
    /// suspected task of another job is starting there.
    pub(super) fn takes_runs_of(&self, job_key: JobKey, worker: &WorkerState) -> bool {
        self.takes_runs(worker) && worker.apart_job.is_none_or(|apart| apart == job_key)
    }

    /// Returns whether a suspected task may start on a worker: one without runs, or one
    /// that takes no other tasks, once it has few runs or does not run empty; a crash there
    /// proves nothing then. A task that was the only suspect before is almost certainly
    /// guilty, and does not start beside a few runs.
    pub(super) fn is_worker_for_suspect(
        &self,
        job_key: JobKey,
        index: usize,
        worker_key: WorkerKey,
    ) -> bool {
        let worker = &self.workers[worker_key];
        if worker.runs.is_empty() || worker.apart_job == Some(job_key) {
            return true;
        }
        let Some(chosen_at) = self.trial_workers.get(&worker_key) else {
            return false;
        };
        let crashes = self.jobs[job_key].tasks[index].crashes;
        if self.now.since(*chosen_at) >= EMPTY_TIMEOUT {
            return Self::is_settled_for(job_key, worker);
        }
        worker.runs.len() <= MAX_TRIAL_NEIGHBOURS
            && crashes.sole_losses == 0
            && self.is_calm_for(job_key, worker)
    }

    /// Returns whether the runs of other jobs on a worker have shown that they do no harm
    /// by starting.
    fn is_settled_for(job_key: JobKey, worker: &WorkerState) -> bool {
        let mut others = worker.runs.iter().filter(|((job, _), _)| *job != job_key);
        others.all(|(_, run)| worker.start_status(run) == StartStatus::Settled)
    }

    /// Returns whether a crash of a worker could not be due to a run of another job than
    /// this one.
    pub(super) fn is_calm_for(&self, job_key: JobKey, worker: &WorkerState) -> bool {
        let mut others = worker.runs.keys().filter(|(job, _)| *job != job_key);
        Self::is_settled_for(job_key, worker)
            && others.all(|(job, index)| self.jobs[*job].tasks[*index].crashes.is_presumed_sound())
    }

    /// Returns how many workers suspected tasks use, and may use.
    pub(super) fn trial_usage(&self) -> TrialUsage {
        let mut usage = TrialUsage {
            has_on_time_backlog: self.on_time_backlog > self.workers.len() / MAX_APART_DIVISOR,
            ..TrialUsage::default()
        };
        for worker in self.workers.values() {
            let is_open = worker.has_open_trial();
            usage.apart += usize::from(is_open);
            usage.silent += usize::from(is_open && worker.lease.failed_polls > 0);
            usage.long += usize::from(worker.apart_job.is_some() && !is_open);
            if self.takes_runs(worker) {
                usage.workers += 1;
                usage.vacant += usize::from(worker.runs.is_empty());
                usage.free += worker.free();
                usage.capacity += worker.report.capacity;
            }
        }
        usage
    }
}

impl TrialUsage {
    /// Returns on how many workers suspected tasks may start at a time.
    pub(super) fn limit(&self) -> usize {
        let free_permille = 1_000 - self.used_permille();
        let free = self.workers * free_permille / 1_000;
        if self.has_on_time_backlog {
            // Tasks that can still end in time get the other half of the room, and the
            // workers that are back after a crash.
            let by_vacant = self.vacant - self.vacant / 4;
            let least = self.workers / MAX_APART_DIVISOR;
            return least.max(free / 2).max(by_vacant).max(1);
        }
        // The other tasks that wait are too late, and would take each worker that becomes
        // free. A worker that has crashed is of no use to them either.
        let vacant = self.vacant + self.apart - self.silent;
        let by_vacant = vacant - vacant / 4;
        let least = self.workers / MAX_LATE_APART_DIVISOR;
        self.silent + least.max(free).max(by_vacant).max(1)
    }

    /// Returns how many workers are kept for suspected tasks besides those in use: as many
    /// as may start one now, and unless other work needs them, those that run empty for the
    /// trials after these.
    pub(super) fn kept_workers(&self) -> usize {
        if self.has_on_time_backlog {
            self.spare()
        } else {
            self.limit() - self.silent
        }
    }

    /// Returns on how many further workers suspected tasks may start.
    pub(super) fn spare(&self) -> usize {
        self.limit().saturating_sub(self.apart)
    }

    /// Returns whether a further suspect may start that stays apart until it ends.
    pub(super) fn has_room_for_long(&self) -> bool {
        let by_vacant = (self.vacant + self.long) * 3 / 4;
        self.long < self.limit().max(by_vacant)
    }

    /// Returns the part of the capacity that is in use, of the resource that is used the
    /// most.
    fn used_permille(&self) -> usize {
        let used = self.capacity.saturating_sub(&self.free);
        let share = used.dominant_share_ppm(&self.capacity) / 1_000;
        usize::try_from(share).unwrap_or(1_000).min(1_000)
    }
}
