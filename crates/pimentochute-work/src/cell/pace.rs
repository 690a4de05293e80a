//! Workers that turn slow: their runs make progress, but much less than the
//! runs of the same step elsewhere.

use pimentochute_base::MilliSpan;

use crate::worker::PlacedRun;
use crate::{JobKey, RunningRow, WorkerKey};

use super::WorkCell;

/// A worker is slow if a run there goes at less than one part in this many of
/// the pace of another run of its step. Uneven tasks and data on another rack
/// make up a factor of two at most.
const SLOW_FACTOR: u64 = 3;

/// The least time over which a pace is measured.
const PACE_SPAN: MilliSpan = MilliSpan::new(300);

/// What it takes to stop a run and to start it elsewhere.
const MOVE_TIME: MilliSpan = MilliSpan::new(500);

/// A run moves only if that saves this many times what the move costs: its
/// work is thrown away.
const GAIN_FACTOR: u64 = 2;

/// A task moves at most this often.
const MAX_RUNS: u32 = 3;

/// The progress of a run, in hundredths of a percent a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunPace(u64);

impl RunPace {
    /// Returns the pace of `percent` in `span`; none if that is too short to
    /// tell.
    fn over(percent: u32, span: MilliSpan) -> Option<Self> {
        let millis = span.as_millis();
        (span >= PACE_SPAN).then(|| Self(u64::from(percent) * 100_000 / millis))
    }

    fn is_slow(self, best: Self) -> bool {
        self.0.saturating_mul(SLOW_FACTOR) < best.0
    }

    /// Returns the time for `percent` at this pace.
    fn time_for(self, percent: u32) -> MilliSpan {
        MilliSpan::new(u64::from(percent) * 100_000 / self.0.max(1))
    }
}

impl WorkCell {
    /// Notes the pace of a run that ended by being done.
    pub(super) fn note_done_pace(&mut self, job_key: JobKey, index: usize, run: &PlacedRun) {
        let job = &mut self.jobs[job_key];
        let step = job.step_index(job.name_of(index));
        if let Some(started) = run.answered_at
            && job.tasks[index].checkpoint.is_empty()
            && let Some(pace) = RunPace::over(100, self.now.since(started))
        {
            let best = &mut job.steps[step].best_pace;
            *best = pace.max(*best);
        }
    }

    /// Notes the pace of a run that goes on. A slow worker is left alone for a
    /// while, and its run moves if that pays.
    pub(super) fn note_pace(
        &mut self,
        job_key: JobKey,
        index: usize,
        key: WorkerKey,
        row: &RunningRow,
    ) {
        let now = self.now;
        let job = &mut self.jobs[job_key];
        let step_index = job.step_index(job.name_of(index));
        let spec = job.step_spec(step_index);
        if spec.is_service || spec.uses_leftover_cpu || spec.is_gang {
            // The members of a gang all go at the pace of the slowest one.
            return;
        }
        let Some(run) = self.workers[key].runs.get_mut(&(job_key, index)) else {
            return;
        };
        let from = match (run.pace_from, run.answered_at) {
            (Some(from), _) => from,
            (None, Some(started)) if job.tasks[index].checkpoint.is_empty() => (0, started),
            (None, _) => {
                run.pace_from = Some((row.percent, now));
                return;
            }
        };
        let gained = row.percent.saturating_sub(from.0);
        let Some(pace) = RunPace::over(gained, now.since(from.1)) else {
            return;
        };
        run.pace_from = Some((row.percent, now));
        let best = &mut job.steps[step_index].best_pace;
        *best = pace.max(*best);
        let best = *best;
        if !pace.is_slow(best) {
            return;
        }
        let left = pace.time_for(100_u32.saturating_sub(row.percent));
        let anew = best.time_for(100) + MOVE_TIME;
        let may_move = run.stop_sent.is_none() && row.run < MAX_RUNS;
        let moves = may_move && left.as_millis() > anew.as_millis() * GAIN_FACTOR;
        let worker = &mut self.workers[key];
        worker.avoid_until = worker.avoid_until.max(now + self.policy.avoid_time);
        log::warn!(
            task:% = job.name_of(index), run = row.run, worker:% = worker.report.id,
            percent = row.percent, left:%, elsewhere:% = anew, moves;
            "cell: a worker is slow"
        );
        if moves {
            self.stop_or_clear(job_key, index, key);
        }
    }
}
