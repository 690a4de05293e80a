//! The bounds of the cell's state. Each is at least twice what a data centre
//! of the target size needs.

use pimentochute_base::MilliSpan;

/// The most tasks of a job.
pub const MAX_JOB_TASKS: u32 = 4_096;

/// The largest `max_attempts` of a job.
pub const MAX_ATTEMPTS: u32 = 16;

/// The longest command of a task, in bytes.
pub const MAX_COMMAND_BYTES: usize = 8 * 1024;

/// The most jobs that have not ended.
pub const MAX_ACTIVE_JOBS: usize = 20_000;

/// The most tasks of jobs that have not ended.
pub const MAX_ACTIVE_TASKS: usize = 200_000;

/// The most teams that are known.
pub const MAX_CELL_TEAMS: usize = 4_000;

/// The most workers that are known, lost ones included.
pub const MAX_WORKERS: usize = 10_000;

/// The most lost workers that are remembered; the longest lost is forgotten
/// first.
pub const MAX_LOST_WORKERS: usize = 1_000;

/// The most earlier incarnations of a worker that are remembered, so that a
/// late record does not bring one back.
pub const MAX_PAST_INCARNATIONS: usize = 8;

/// The most runs of hosts whose records are told from repetitions; the one
/// that was silent longest is forgotten first.
pub const MAX_WRITERS: usize = 256;

/// The most records of a host that are remembered one by one because an
/// earlier one is missing. A record that is overtaken by more has no effect.
pub const MAX_DEDUP_WINDOW: usize = 4_096;

/// How long an ended job is remembered.
pub const ENDED_JOB_RETENTION: MilliSpan = MilliSpan::new(48 * 60 * 60 * 1000);

/// The ended jobs that are remembered for any time, so that one host's wrong
/// clock does not make the cell forget the recent ones.
pub const MIN_ENDED_JOBS: usize = 1_000;

/// The most ended jobs that are remembered: two days at the target size are
/// 8,700.
pub const MAX_ENDED_JOBS: usize = 10_000;

/// The most tasks of an ended job that are remembered one by one.
pub const MAX_ENDED_TASKS: usize = 8;

/// The different jobs that are remembered as failed in a row on a worker.
pub const MAX_FAILED_JOBS: usize = 5;

/// The workers that are remembered for a task that failed on them.
pub const MAX_FAILED_WORKERS: usize = MAX_ATTEMPTS as usize;

/// The wait after the first end of a task that is tried again.
pub const BASE_RETRY_DELAY: MilliSpan = MilliSpan::new(1_000);

/// The longest wait of a task that is tried again.
pub const MAX_RETRY_DELAY: MilliSpan = MilliSpan::new(60_000);

/// A task that ran this long starts again with the shortest wait.
pub const RETRY_RESET_AFTER: MilliSpan = MilliSpan::new(60_000);
