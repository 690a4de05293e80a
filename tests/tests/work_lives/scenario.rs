//! The size of a simulation and the faults that it draws, from the environment.

use std::collections::BTreeSet;
use std::ops::Range;

use fastrand::Rng;

/// A kind of fault. Without any, all messages arrive at once and in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// Workers crash and start again, in series and at any point of a call.
    Crash,
    /// Workers start again under another identifier at the same address.
    Successor,
    /// The time of day of a worker steps between two lives.
    ClockStep,
    /// Answers overtake each other and arrive up to the timeout of an order later.
    SlowAnswer,
    /// Answers are lost.
    LostAnswer,
    /// Orders are carried out seconds later.
    LateOrder,
    /// Workers cannot be reached.
    Partition,
    /// Workers refuse orders as unhealthy.
    Unhealthy,
    /// Rows of listings cannot be read.
    TornListing,
    /// The platform's list is read late.
    LateList,
    /// Owners end and are replaced; former owners go on for a while.
    OwnerChange,
    /// Owners are suspended, also while they are replaced.
    Freeze,
    /// The log is slow or down, and answers late.
    SlowLog,
    /// Jobs are handed in again.
    Resubmission,
    /// Jobs are cancelled.
    Cancel,
    /// Runs fail.
    FailedRun,
    /// Tasks crash their workers.
    DeadlyTask,
    /// Jobs have hundreds of short tasks, so that listings are cut.
    ManyEnds,
}

impl FaultKind {
    pub const ALL: [(Self, &str); 18] = [
        (Self::Crash, "crash"),
        (Self::Successor, "successor"),
        (Self::ClockStep, "clock"),
        (Self::SlowAnswer, "slow"),
        (Self::LostAnswer, "lost"),
        (Self::LateOrder, "late"),
        (Self::Partition, "partition"),
        (Self::Unhealthy, "unhealthy"),
        (Self::TornListing, "torn"),
        (Self::LateList, "list"),
        (Self::OwnerChange, "owner"),
        (Self::Freeze, "freeze"),
        (Self::SlowLog, "log"),
        (Self::Resubmission, "again"),
        (Self::Cancel, "cancel"),
        (Self::FailedRun, "fail"),
        (Self::DeadlyTask, "deadly"),
        (Self::ManyEnds, "many"),
    ];

    /// The kinds that happen at single moments; the others are shares of all messages,
    /// runs or jobs.
    const EVENTS: [Self; 8] = [
        Self::Crash,
        Self::Successor,
        Self::Partition,
        Self::OwnerChange,
        Self::Freeze,
        Self::SlowLog,
        Self::Resubmission,
        Self::Cancel,
    ];
}

/// The size of a simulation and what may happen in it.
#[derive(Debug, Clone)]
pub struct FaultScenario {
    pub workers: usize,
    pub jobs: u64,
    /// The number of faults that happen at single moments.
    pub faults: u32,
    pub kinds: BTreeSet<FaultKind>,
    /// Jobs may have gangs and steps that wait for others.
    pub has_steps: bool,
}

impl FaultScenario {
    /// Creates the scenario of a seed, in which half of the kinds occur.
    pub fn new(rng: &mut Rng) -> Self {
        let kinds = FaultKind::ALL.into_iter().map(|(kind, _)| kind);
        Self {
            workers: rng.usize(2..=8),
            jobs: rng.u64(5..=40),
            faults: rng.u32(2..=20),
            kinds: kinds.filter(|_| rng.bool()).collect(),
            has_steps: rng.bool(),
        }
    }

    /// Creates the scenario of a seed in which two to four kinds occur: what needs two faults
    /// to meet is rare among many others.
    pub fn with_few_kinds(rng: &mut Rng) -> Self {
        let scenario = Self::new(rng);
        let count = rng.usize(2..=4);
        let kinds = FaultKind::ALL.into_iter().map(|(kind, _)| kind);
        let kinds = rng.choose_multiple(kinds, count);
        scenario.with_kinds(&kinds)
    }

    /// Returns the scenario with the sizes and kinds that the environment gives, to look
    /// for the smallest one that shows a fault: `LIVES_WORKERS`, `LIVES_JOBS`,
    /// `LIVES_FAULTS`, `LIVES_STEPS` (0 or 1) and `LIVES_KINDS` (names with commas
    /// between them, all of which occur).
    pub fn with_environment(mut self) -> Self {
        if let Some(workers) = variable("LIVES_WORKERS") {
            self.workers = usize::try_from(workers).expect("fits");
        }
        self.jobs = variable("LIVES_JOBS").unwrap_or(self.jobs);
        if let Some(faults) = variable("LIVES_FAULTS") {
            self.faults = u32::try_from(faults).expect("fits");
        }
        if let Some(steps) = variable("LIVES_STEPS") {
            self.has_steps = steps > 0;
        }
        if let Ok(names) = std::env::var("LIVES_KINDS") {
            let names = names.split(',').filter(|name| !name.is_empty());
            self.kinds = names.map(kind_of).collect();
        }
        self
    }

    pub fn with_kinds(mut self, kinds: &[FaultKind]) -> Self {
        self.kinds = kinds.iter().copied().collect();
        self
    }

    pub fn without_kind(mut self, kind: FaultKind) -> Self {
        self.kinds.remove(&kind);
        self
    }

    pub fn with_kind(mut self, kind: FaultKind) -> Self {
        self.kinds.insert(kind);
        self
    }

    pub fn has(&self, kind: FaultKind) -> bool {
        self.kinds.contains(&kind)
    }

    /// Draws the kind of the next fault, if any kind occurs.
    pub fn draw_event(&self, rng: &mut Rng) -> Option<FaultKind> {
        let events = FaultKind::EVENTS.into_iter();
        let events: Vec<_> = events.filter(|kind| self.has(*kind)).collect();
        rng.choice(events)
    }
}

fn kind_of(name: &str) -> FaultKind {
    let mut kinds = FaultKind::ALL.into_iter();
    let found = kinds.find(|(_, known)| *known == name);
    found.expect("LIVES_KINDS names kinds of faults").0
}

/// Returns the seeds that `LIVES_FIRST_SEED` and `LIVES_SEEDS` (a number of seeds) ask
/// for; `None` without the latter.
pub fn seeds_by_environment() -> Option<Range<u64>> {
    let seeds = variable("LIVES_SEEDS")?;
    let first = variable("LIVES_FIRST_SEED").unwrap_or(0);
    Some(first..first + seeds)
}

/// Returns whether the scenarios of the environment's seeds have two to four kinds only
/// (`LIVES_FEW_KINDS=1`).
pub fn has_few_kinds_by_environment() -> bool {
    variable("LIVES_FEW_KINDS").is_some_and(|few| few > 0)
}

fn variable(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().expect("a number in the environment"))
}
