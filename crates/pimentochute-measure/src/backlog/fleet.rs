//! Workers that crash under deadly runs and come back, and the gangs that run on them.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::{
    EndedRow, OrderError, PollCommand, RunEnd, RunningRow, StartCommand, StepName, StopCommand,
    TaskName, WorkerListing, WorkerReport,
};

use super::adviser;
use super::load::{POOL, WORKER_CAPACITY};
use super::timers::TimerQueue;

/// The time from the start of a deadly run until its worker crashes.
const CRASH_DELAY: MilliSpan = MilliSpan::new(10);

/// The time from a crash until the worker is back, under another identifier.
pub(super) const DOWN_TIME: MilliSpan = MilliSpan::new(3_300);

/// The time from a crash until the platform's list omits the worker.
const LIST_TIMEOUT: MilliSpan = MilliSpan::new(4_000);

/// The time from a crash until the owner sees that a poll gets no answer.
const BREAK_DELAY: MilliSpan = MilliSpan::new(10);

/// The time that a stop takes.
const STOP_DELAY: MilliSpan = MilliSpan::new(100);

/// The time that a member of a gang waits for the others.
const GANG_WAIT: MilliSpan = MilliSpan::new(3_000);

/// The number of workers in a rack.
const RACK_SIZE: usize = 6;

/// An order on its way to a worker.
#[derive(Debug)]
pub(super) enum WorkerOrder {
    Start(StartCommand, RunPlan),
    Stop(StopCommand),
    Poll(PollCommand),
}

/// What the owner does not know of a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunPlan {
    pub(super) duration: MilliSpan,
    pub(super) is_deadly: bool,
    /// The number of members; `None` if the task is not part of a gang.
    pub(super) gang_size: Option<u32>,
}

/// The answer of a worker, or the failure of the order.
#[derive(Debug)]
pub(super) enum WorkerAnswer {
    Started(StartCommand, Result<MilliTime, OrderError>),
    Stopped(StopCommand, Result<MilliTime, OrderError>),
    Polled(PollCommand, Result<WorkerListing, OrderError>),
}

/// What happened on the workers.
#[derive(Debug)]
pub(super) enum FleetEvent {
    /// A worker answers the owner of an epoch after `delay`.
    Answered {
        epoch: u64,
        delay: MilliSpan,
        answer: WorkerAnswer,
    },
    RunStarted {
        task: TaskName,
        /// Another run of the task has not ended.
        is_double: bool,
    },
    /// A run ended without success.
    RunBroken(TaskName),
    RunDone(TaskName),
    Crashed {
        worker: String,
        culprit: TaskName,
        /// The runs with the time since their start.
        lost: Vec<(TaskName, MilliSpan)>,
    },
    /// A worker is in the platform's list from now on.
    Listed(WorkerReport),
    /// A worker is not in the platform's list any more.
    Unlisted(String),
}

/// The workers, one for each address.
#[derive(Debug)]
pub(super) struct WorkerFleet {
    slots: Vec<WorkerSlot>,
    /// The index of the slot by its address.
    addresses: BTreeMap<String, usize>,
    /// The slot on which each task last started.
    last_slots: BTreeMap<TaskName, usize>,
    gangs: BTreeMap<GangKey, GangRun>,
    timers: TimerQueue<FleetTimer>,
    events: Vec<FleetEvent>,
    /// The workers in the platform's list, crashed ones among them.
    listed: BTreeMap<String, WorkerReport>,
    next_worker: usize,
}

/// A step and the number of its run.
type GangKey = (StepName, u32);

#[derive(Debug)]
struct WorkerSlot {
    report: WorkerReport,
    is_up: bool,
    /// The highest fencing token that the worker has seen.
    token: u64,
    runs: BTreeMap<TaskName, WorkerRun>,
    ended: Vec<EndedRow>,
    next_end: u64,
    /// A poll that waits for an end, with the epoch of its owner.
    pending_poll: Option<(u64, PollCommand)>,
}

#[derive(Debug)]
struct WorkerRun {
    number: u32,
    started_at: MilliTime,
    plan: RunPlan,
}

#[derive(Debug)]
struct GangRun {
    members: Vec<(TaskName, usize)>,
    /// When all members were present.
    began_at: Option<MilliTime>,
}

#[derive(Debug)]
enum FleetTimer {
    RunEnds(RunRef),
    RunStops(RunRef),
    GangEnds(GangKey),
    GangLapses(GangKey),
    PollEnds { slot: usize, sent: MilliTime },
    Crash { slot: usize, culprit: TaskName },
    Return { slot: usize },
    Unlist(String),
}

#[derive(Debug, Clone, Copy)]
struct RunRef {
    slot: usize,
    task: TaskName,
    run: u32,
}

impl WorkerFleet {
    pub(super) fn new(workers: usize, now: MilliTime) -> Self {
        let mut fleet = Self {
            slots: Vec::with_capacity(workers),
            addresses: BTreeMap::new(),
            last_slots: BTreeMap::new(),
            gangs: BTreeMap::new(),
            timers: TimerQueue::new(),
            events: Vec::new(),
            listed: BTreeMap::new(),
            next_worker: 0,
        };
        for index in 0..workers {
            let slot = fleet.new_slot(index, now);
            fleet.addresses.insert(slot.report.address.clone(), index);
            fleet.slots.push(slot);
        }
        fleet
    }

    /// Creates a worker that is up and listed.
    fn new_slot(&mut self, index: usize, now: MilliTime) -> WorkerSlot {
        let report = WorkerReport {
            id: format!("i-{:05}", self.next_worker),
            address: format!("10.1.{}.{}:80", index / 250, index % 250),
            pool: POOL.to_owned(),
            data_centre: "dc".to_owned(),
            is_draining: false,
            capacity: WORKER_CAPACITY,
            labels: vec!["a".to_owned(), format!("r{}", index / RACK_SIZE)],
            started_at: now,
            clock: now,
        };
        self.next_worker += 1;
        self.listed.insert(report.id.clone(), report.clone());
        WorkerSlot {
            report,
            is_up: true,
            token: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            pending_poll: None,
        }
    }

    /// Returns the platform's list.
    pub(super) fn listed(&self) -> impl Iterator<Item = &WorkerReport> {
        self.listed.values()
    }

    /// Returns what happened since the last call.
    pub(super) fn take_events(&mut self) -> Vec<FleetEvent> {
        std::mem::take(&mut self.events)
    }

    /// Does what is due by `now`.
    pub(super) fn advance(&mut self, now: MilliTime) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                FleetTimer::RunEnds(run) => {
                    if self.end_run(run, RunEnd::Done, now) {
                        self.events.push(FleetEvent::RunDone(run.task));
                    }
                }
                FleetTimer::RunStops(run) => {
                    if self.end_run(run, RunEnd::Stopped, now) {
                        self.events.push(FleetEvent::RunBroken(run.task));
                        self.break_gang((run.task.step_name(), run.run), now);
                    }
                }
                FleetTimer::GangEnds(key) => self.end_gang(key, RunEnd::Done, now),
                FleetTimer::GangLapses(key) => {
                    if self
                        .gangs
                        .get(&key)
                        .is_some_and(|gang| gang.began_at.is_none())
                    {
                        self.end_gang(key, RunEnd::Alone, now);
                    }
                }
                FleetTimer::PollEnds { slot, sent } => {
                    let pending = self.slots[slot].pending_poll.as_ref();
                    if pending.is_some_and(|(_, poll)| poll.sent == sent) {
                        self.answer_pending_poll(slot, now);
                    }
                }
                FleetTimer::Crash { slot, culprit } => self.crash(slot, culprit, now),
                FleetTimer::Return { slot } => {
                    self.slots[slot] = self.new_slot(slot, now);
                    let report = self.slots[slot].report.clone();
                    self.events.push(FleetEvent::Listed(report));
                }
                FleetTimer::Unlist(id) => {
                    self.listed.remove(&id);
                    self.events.push(FleetEvent::Unlisted(id));
                }
            }
        }
    }

    /// Delivers an order of the owner of an epoch.
    pub(super) fn deliver(&mut self, epoch: u64, order: WorkerOrder, now: MilliTime) {
        let answer = match order {
            WorkerOrder::Start(command, plan) => {
                let result = self.reach(&command.target, command.token);
                let result = result.and_then(|slot| {
                    if !command.ticket.is_empty() && !adviser::is_valid(&command.ticket, now) {
                        return Err(OrderError::BadTicket);
                    }
                    self.start(slot, &command, plan, now);
                    Ok(now)
                });
                WorkerAnswer::Started(command, result)
            }
            WorkerOrder::Stop(command) => {
                let result = self.reach(&command.target, command.token);
                let result = result.map(|slot| {
                    if let Ok(task) = command.task.parse() {
                        let run = RunRef {
                            slot,
                            task,
                            run: command.run,
                        };
                        self.timers
                            .push(now + STOP_DELAY, FleetTimer::RunStops(run));
                    }
                    now
                });
                WorkerAnswer::Stopped(command, result)
            }
            WorkerOrder::Poll(command) => match self.reach(&command.target, command.token) {
                Ok(slot) => {
                    self.poll(slot, epoch, command, now);
                    return;
                }
                Err(error) => WorkerAnswer::Polled(command, Err(error)),
            },
        };
        self.answer(epoch, answer);
    }

    fn answer(&mut self, epoch: u64, answer: WorkerAnswer) {
        self.events.push(FleetEvent::Answered {
            epoch,
            delay: MilliSpan::ZERO,
            answer,
        });
    }

    /// Returns the slot of a worker that accepts an order.
    fn reach(
        &mut self,
        target: &pimentochute_work::WorkerTarget,
        token: u64,
    ) -> Result<usize, OrderError> {
        let known = self.addresses.get(&target.address).copied();
        let index = known.ok_or(OrderError::Undelivered)?;
        let slot = &mut self.slots[index];
        if !slot.is_up {
            return Err(OrderError::Undelivered);
        }
        if slot.report.id != target.id {
            return Err(OrderError::WrongIncarnation);
        }
        if token < slot.token {
            return Err(OrderError::Fenced);
        }
        slot.token = token;
        Ok(index)
    }

    fn start(&mut self, index: usize, command: &StartCommand, plan: RunPlan, now: MilliTime) {
        let task = command.task;
        let before = self.last_slots.insert(task, index);
        let is_double = before.is_some_and(|slot| self.slots[slot].runs.contains_key(&task));
        self.events.push(FleetEvent::RunStarted { task, is_double });
        let run = WorkerRun {
            number: command.run,
            started_at: now,
            plan,
        };
        self.slots[index].runs.insert(task, run);
        if plan.is_deadly {
            let crash = FleetTimer::Crash {
                slot: index,
                culprit: task,
            };
            self.timers.push(now + CRASH_DELAY, crash);
        }
        let Some(size) = plan.gang_size else {
            let run = RunRef {
                slot: index,
                task,
                run: command.run,
            };
            self.timers
                .push(now + plan.duration, FleetTimer::RunEnds(run));
            return;
        };
        let key = (task.step_name(), command.run);
        let gang = self.gangs.entry(key).or_insert_with(|| {
            self.timers
                .push(now + GANG_WAIT, FleetTimer::GangLapses(key));
            GangRun {
                members: Vec::new(),
                began_at: None,
            }
        });
        gang.members.push((task, index));
        if gang.members.len() == size as usize {
            gang.began_at = Some(now);
            self.timers
                .push(now + plan.duration, FleetTimer::GangEnds(key));
        }
    }

    fn poll(&mut self, index: usize, epoch: u64, command: PollCommand, now: MilliTime) {
        let slot = &mut self.slots[index];
        slot.ended
            .retain(|row| row.number > command.last_recorded_end);
        let ends = now + command.max_wait;
        let sent = command.sent;
        slot.pending_poll = Some((epoch, command));
        if ends > now && slot.ended.is_empty() {
            self.timers
                .push(ends, FleetTimer::PollEnds { slot: index, sent });
        } else {
            self.answer_pending_poll(index, now);
        }
    }

    fn answer_pending_poll(&mut self, index: usize, now: MilliTime) {
        let Some((epoch, command)) = self.slots[index].pending_poll.take() else {
            return;
        };
        let slot = &self.slots[index];
        let running = slot.runs.iter().map(|(task, run)| RunningRow {
            task: task.to_string(),
            run: run.number,
            checkpoint: String::new(),
            percent: self.percent(*task, run, now),
        });
        let listing = WorkerListing {
            started_at: Some(slot.report.started_at),
            clock: now,
            running: running.collect(),
            ended: slot.ended.clone(),
            unreadable_rows: 0,
        };
        self.answer(epoch, WorkerAnswer::Polled(command, Ok(listing)));
    }

    fn percent(&self, task: TaskName, run: &WorkerRun, now: MilliTime) -> u32 {
        let since = match run.plan.gang_size {
            None => Some(run.started_at),
            Some(_) => self
                .gangs
                .get(&(task.step_name(), run.number))
                .and_then(|gang| gang.began_at),
        };
        let worked = since.map_or(0, |since| now.since(since).as_millis());
        u32::try_from(worked * 100 / run.plan.duration.as_millis().max(1)).unwrap_or(100)
    }

    /// Ends a run. Returns whether it was there.
    fn end_run(&mut self, run: RunRef, outcome: RunEnd, now: MilliTime) -> bool {
        let slot = &mut self.slots[run.slot];
        let held = slot.runs.get(&run.task);
        if held.is_none_or(|held| held.number != run.run) {
            return false;
        }
        slot.runs.remove(&run.task);
        slot.ended.push(EndedRow {
            number: slot.next_end,
            task: run.task.to_string(),
            run: run.run,
            outcome,
            checkpoint: String::new(),
        });
        slot.next_end += 1;
        self.answer_pending_poll(run.slot, now);
        true
    }

    fn break_gang(&mut self, key: GangKey, now: MilliTime) {
        self.end_gang(key, RunEnd::Broken, now);
    }

    /// Ends the runs of all members that are left.
    fn end_gang(&mut self, key: GangKey, outcome: RunEnd, now: MilliTime) {
        let Some(gang) = self.gangs.remove(&key) else {
            return;
        };
        for (task, slot) in gang.members {
            let run = RunRef {
                slot,
                task,
                run: key.1,
            };
            if self.end_run(run, outcome, now) {
                self.events.push(if outcome == RunEnd::Done {
                    FleetEvent::RunDone(task)
                } else {
                    FleetEvent::RunBroken(task)
                });
            }
        }
    }

    fn crash(&mut self, index: usize, culprit: TaskName, now: MilliTime) {
        let slot = &mut self.slots[index];
        if !slot.is_up || !slot.runs.contains_key(&culprit) {
            return;
        }
        slot.is_up = false;
        let id = slot.report.id.clone();
        let runs = std::mem::take(&mut slot.runs);
        slot.ended.clear();
        if let Some((epoch, command)) = slot.pending_poll.take() {
            let lost = Err(OrderError::OutcomeUnknown);
            self.events.push(FleetEvent::Answered {
                epoch,
                delay: BREAK_DELAY,
                answer: WorkerAnswer::Polled(command, lost),
            });
        }
        let lost = runs.iter();
        let lost = lost.map(|(task, run)| (*task, now.since(run.started_at)));
        self.events.push(FleetEvent::Crashed {
            worker: id.clone(),
            culprit,
            lost: lost.collect(),
        });
        for (task, run) in runs {
            self.break_gang((task.step_name(), run.number), now);
        }
        self.timers
            .push(now + DOWN_TIME, FleetTimer::Return { slot: index });
        self.timers.push(now + LIST_TIMEOUT, FleetTimer::Unlist(id));
    }
}
