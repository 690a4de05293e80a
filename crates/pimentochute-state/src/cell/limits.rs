//! Limits on the state of a data centre. Each is at least twice what a data
//! centre of the target size needs.

use pimentochute_base::MilliSpan;

/// Maximum number of tasks of a job.
pub const MAX_JOB_TASKS: u32 = 4_096;

/// Maximum value of `max_attempts` of a job.
pub const MAX_ATTEMPTS: u32 = 16;

/// Maximum length of a job's command, in bytes.
pub const MAX_COMMAND_BYTES: usize = 8 * 1024;

/// Maximum number of jobs that have not ended.
pub const MAX_UNENDED_JOBS: usize = 20_000;

/// Maximum number of tasks of all jobs that have not ended.
pub const MAX_UNENDED_TASKS: usize = 200_000;

/// Maximum number of known teams.
pub const MAX_CELL_TEAMS: usize = 4_000;

/// Maximum number of known workers, including lost ones.
pub const MAX_WORKERS: usize = 10_000;

/// Maximum number of lost workers that are retained; the one that was lost first
/// is evicted first.
pub const MAX_LOST_WORKERS: usize = 1_000;

/// Maximum number of earlier incarnations that are retained per worker, so that a
/// late record cannot reinstate one.
pub const MAX_PAST_INCARNATIONS: usize = 8;

/// Maximum number of host incarnations whose records are deduplicated; the one
/// whose last record is oldest is evicted first.
pub const MAX_WRITERS: usize = 256;

/// Maximum number of a writer's sequence numbers that are retained above a missing
/// one. A record that arrives after more than that many later ones is treated
/// as a repetition.
pub const MAX_DEDUP_WINDOW: usize = 4_096;

/// How long ended jobs are retained.
pub const ENDED_JOB_RETENTION: MilliSpan = MilliSpan::new(48 * 60 * 60 * 1000);

/// Number of ended jobs that are retained whatever their age, so that a host with
/// a wrong clock cannot evict recent ones.
pub const MIN_ENDED_JOBS: usize = 1_000;

/// Maximum number of retained ended jobs. At the target size, 8,700 jobs end in
/// two days.
pub const MAX_ENDED_JOBS: usize = 10_000;

/// Maximum number of tasks for which an ended job keeps its task states.
pub const MAX_ENDED_TASKS: usize = 8;

/// Maximum number of distinct failed jobs that are retained per worker.
pub const MAX_FAILED_JOBS: usize = 5;

/// Maximum number of workers to avoid that are retained per task.
pub const MAX_FAILED_WORKERS: usize = MAX_ATTEMPTS as usize;

/// Delay before the first retry of a task or gang; doubles with each early end
/// in a row.
pub const BASE_RETRY_DELAY: MilliSpan = MilliSpan::new(1_000);

/// Maximum delay before a retry.
pub const MAX_RETRY_DELAY: MilliSpan = MilliSpan::new(60_000);

/// An attempt that ran this long resets the retry delay to the base.
pub const RETRY_RESET_AFTER: MilliSpan = MilliSpan::new(60_000);
