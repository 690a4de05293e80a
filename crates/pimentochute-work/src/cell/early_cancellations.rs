//! Cancellations of jobs that the cell does not know. The submission of such a job may still be
//! on its way: a call of a host that is held up, or an append that the log carries out late.
//! The job must not run when it arrives, so the cell remembers the cancellation, here and in
//! the log, for the time for which it also knows an ended job.

use std::collections::{BTreeMap, BTreeSet};

use pimentochute_base::{EpochNumber, MilliSpan, MilliTime};
use smallvec::SmallVec;

use crate::admission::spread_retry;
use crate::decision::CellDecision;
use crate::effect::CellEffect;
use crate::record::{JobCancellations, TeamCancellation, encode_extended};
use crate::{
    CallerAnswer, JobCode, JobEnd, JobKey, JobScope, RecordError, RecordKind, RecordWrite, ReplyKey,
};

use super::WorkCell;
use super::closed::MIN_RESTORED_RETENTION;
use super::records::StagedAction;

/// The largest number of cancellations that are remembered. A new owner reads all of them, a
/// few hundred in a page of the log.
const MAX_CANCELLATIONS: usize = 4_096;

/// After this many changes of owner, a cancellation is kept only for as long as the time of
/// day says. Otherwise owners that replace each other quickly would keep it for good.
const MAX_OWNERS: u64 = 4;

/// A time of day that is further ahead than this is wrong.
const MAX_CLOCK_LEAD: MilliSpan = MilliSpan::new(10_000);

/// The cancellation of a job by a team, or by a caller without a key.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EarlyCancellation {
    team: Option<String>,
    /// `None` if an earlier build has recorded it.
    queue: Option<String>,
    /// Since the Unix epoch, by the owner that answered it.
    cancelled_at: MilliTime,
    epoch: EpochNumber,
    /// On the cell's clock: the time of day may jump.
    forget_at: MilliTime,
}

/// The cancellations that are remembered, and what the log has to learn of them.
#[derive(Debug, Default)]
pub(super) struct EarlyCancellations {
    /// No list is empty.
    jobs: BTreeMap<JobCode, SmallVec<[EarlyCancellation; 1]>>,
    /// Contains each cancellation, by the time at which it is forgotten.
    by_expiry: BTreeSet<(MilliTime, JobCode)>,
    /// The number of cancellations of each team; none is zero.
    team_counts: BTreeMap<Option<String>, usize>,
    /// The jobs whose record in the log is outdated.
    unwritten: BTreeSet<JobCode>,
}

impl EarlyCancellations {
    fn len(&self) -> usize {
        self.team_counts.values().sum()
    }

    fn of_job(&self, code: JobCode) -> &[EarlyCancellation] {
        self.jobs.get(&code).map_or(&[], SmallVec::as_slice)
    }

    /// Returns whether a team may add a cancellation. It may have as many as there is room
    /// left, so that a team that sends them without end leaves room to the others.
    fn has_room(&self, team: Option<&str>) -> bool {
        let count = self.team_counts.get(&team.map(str::to_owned));
        count.copied().unwrap_or(0) < MAX_CANCELLATIONS.saturating_sub(self.len())
    }

    /// Adds a cancellation in place of an earlier one with the same scope.
    fn insert(&mut self, code: JobCode, entry: EarlyCancellation) {
        self.remove(code, |other| other.scope() == entry.scope());
        self.by_expiry.insert((entry.forget_at, code));
        let count = self.team_counts.entry(entry.team.clone()).or_default();
        *count += 1;
        self.jobs.entry(code).or_default().push(entry);
    }

    /// Removes the first cancellation of a job that `is_meant` accepts.
    fn remove(&mut self, code: JobCode, is_meant: impl Fn(&EarlyCancellation) -> bool) {
        let Some(list) = self.jobs.get_mut(&code) else {
            return;
        };
        let index = list.iter().position(is_meant);
        let Some(entry) = index.map(|index| list.remove(index)) else {
            return;
        };
        let is_shared = list.iter().any(|other| other.forget_at == entry.forget_at);
        if list.is_empty() {
            self.jobs.remove(&code);
        }
        if !is_shared {
            self.by_expiry.remove(&(entry.forget_at, code));
        }
        if let Some(count) = self.team_counts.get_mut(&entry.team) {
            *count -= 1;
            if *count == 0 {
                self.team_counts.remove(&entry.team);
            }
        }
    }

    /// Forgets the cancellations whose time was over before `now`.
    fn expire(&mut self, now: MilliTime) {
        while let Some((forget_at, code)) = self.by_expiry.first().copied()
            && forget_at < now
        {
            let is_due = |entry: &EarlyCancellation| entry.forget_at == forget_at;
            while self.of_job(code).iter().any(is_due) {
                self.remove(code, is_due);
            }
            self.unwritten.insert(code);
        }
    }

    pub(super) fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Returns the writes that bring the records up to date, deletions first: the log never
    /// has more records than there is room for.
    pub(super) fn take_writes(&mut self) -> Result<Vec<RecordWrite>, RecordError> {
        let unwritten = std::mem::take(&mut self.unwritten).into_iter();
        let (kept, deleted): (Vec<_>, Vec<_>) =
            unwritten.partition(|code| self.jobs.contains_key(code));
        let deletions = deleted.into_iter().map(|code| Ok((code, Vec::new())));
        let records = kept.into_iter().map(|code| {
            let list = self.jobs[&code].iter();
            let teams = list.map(TeamCancellation::from).collect();
            Ok((code, encode_extended(&JobCancellations { teams })?))
        });
        let writes = deletions.chain(records).map(|write| {
            write.map(|(job, value)| RecordWrite {
                job,
                kind: RecordKind::Cancellations,
                value,
            })
        });
        writes.collect()
    }
}

impl WorkCell {
    /// Cancels a job that the cell does not know, or that the caller may not see, and answers
    /// that it does not exist. The answer follows once the log has the cancellation. Without
    /// room for it the caller has to return later: the job could still run.
    pub fn cancel_unknown(&mut self, code: JobCode, scope: JobScope<'_>, reply: ReplyKey) {
        let JobScope { team, queue } = scope;
        let mut kept = self.early_cancellations.of_job(code).iter();
        let known = kept.find(|entry| entry.scope() == scope);
        let retention = self.policy.ended_job_retention;
        let half = MilliSpan::new(retention.as_millis() / 2);
        let is_fresh = known.is_some_and(|entry| entry.forget_at > self.now + half);
        if !is_fresh {
            if known.is_none() && !self.early_cancellations.has_room(team) {
                self.refuse_cancellation(code, team, reply);
                return;
            }
            let entry = EarlyCancellation {
                team: team.map(str::to_owned),
                queue: queue.map(str::to_owned),
                cancelled_at: self.unix_now,
                epoch: self.epoch,
                forget_at: self.now + retention,
            };
            self.early_cancellations.insert(code, entry);
            self.early_cancellations.unwritten.insert(code);
        }
        log::info!(
            job:% = code,
            team = team.unwrap_or("-"),
            queue = queue.unwrap_or("-"),
            kept = self.early_cancellations.len(),
            is_repeated = is_fresh;
            "cell: the cancellation of an unknown job is kept"
        );
        // A repeated call also waits for the batches that may have the record.
        self.staged
            .push(StagedAction::Reply(reply, CallerAnswer::Unknown));
    }

    fn refuse_cancellation(&mut self, code: JobCode, team: Option<&str>, reply: ReplyKey) {
        let next = self.early_cancellations.by_expiry.first();
        let until_room = next.map_or(MilliSpan::ZERO, |(at, _)| at.since(self.now));
        let retry_after = spread_retry(code, until_room);
        self.decisions.add(CellDecision::RefuseCancellation);
        log::info!(
            job:% = code,
            team = team.unwrap_or("-"),
            kept = self.early_cancellations.len(),
            retry_after:%;
            "cell: there is no room for the cancellation of an unknown job"
        );
        let answer = CallerAnswer::Busy(retry_after);
        self.effects.push(CellEffect::Reply(reply, answer));
    }

    /// Ends a job that has just arrived if it was cancelled before; returns whether it was.
    pub(super) fn end_if_cancelled(&mut self, key: JobKey) -> bool {
        let job = &self.jobs[key];
        let scope = job.submission.scope();
        // Another caller may have cancelled a job of its own with this identifier.
        let mut kept = self.early_cancellations.of_job(job.code).iter();
        let cancellation = kept.find(|entry| entry.scope().covers(scope, &self.config));
        let Some(cancellation) = cancellation.filter(|_| job.end.is_none()) else {
            return false;
        };
        log::info!(
            job:% = job.code,
            cancelled_for:% = self.unix_now.since(cancellation.cancelled_at),
            epoch:% = cancellation.epoch;
            "cell: a job is cancelled: its cancellation came before it"
        );
        self.decisions.add(CellDecision::EndCancelledEarly);
        self.end_job(key, JobEnd::Cancelled);
        true
    }

    /// Restores the cancellations of a job from their record. Call
    /// [`WorkCell::end_cancelled_jobs`] once the jobs are restored as well.
    pub fn restore_cancellations(&mut self, code: JobCode, record: JobCancellations) {
        for cancellation in record.teams {
            let left = self.retention_of(&cancellation);
            let entry = EarlyCancellation {
                team: cancellation.team,
                queue: cancellation.queue,
                cancelled_at: cancellation.cancelled_at,
                epoch: cancellation.epoch,
                forget_at: self.now + left,
            };
            self.early_cancellations.insert(code, entry);
        }
    }

    /// Returns for how long a restored cancellation is kept.
    fn retention_of(&self, cancellation: &TeamCancellation) -> MilliSpan {
        let retention = self.policy.ended_job_retention;
        let left = retention.saturating_sub(self.unix_now.since(cancellation.cancelled_at));
        let owners = self.epoch.get().saturating_sub(cancellation.epoch.get());
        let lead = cancellation.cancelled_at.since(self.unix_now);
        if owners < MAX_OWNERS {
            left.max(MIN_RESTORED_RETENTION).min(retention)
        } else if lead > MAX_CLOCK_LEAD {
            MilliSpan::ZERO
        } else {
            left
        }
    }

    /// Ends the restored jobs that were cancelled before they arrived.
    pub fn end_cancelled_jobs(&mut self) {
        let codes = self.early_cancellations.jobs.keys();
        let keys: Vec<_> = codes
            .filter_map(|code| self.job_keys.get(code).copied())
            .collect();
        for key in keys {
            self.end_if_cancelled(key);
        }
    }

    /// Forgets the cancellations whose time was over when the intake was read: a host may have
    /// appended the submission of the job, and this owner has not read it yet.
    pub(super) fn expire_cancellations(&mut self) {
        self.early_cancellations.expire(self.intake_read_at);
    }

    /// Returns the number of cancellations of unknown jobs that are remembered.
    #[must_use]
    pub fn early_cancellations(&self) -> usize {
        self.early_cancellations.len()
    }
}

impl EarlyCancellation {
    fn scope(&self) -> JobScope<'_> {
        JobScope {
            team: self.team.as_deref(),
            queue: self.queue.as_deref(),
        }
    }
}

impl From<&EarlyCancellation> for TeamCancellation {
    fn from(entry: &EarlyCancellation) -> Self {
        Self {
            team: entry.team.clone(),
            cancelled_at: entry.cancelled_at,
            epoch: entry.epoch,
            queue: entry.queue.clone(),
        }
    }
}
