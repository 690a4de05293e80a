//! The failure detector of the owner: combines a host's own calls to the owner
//! with the observations of other hosts and the owner's heartbeats in the log.
//! The owner itself does not count as a witness.
//!
//! An overloaded owner answers late, and replacing it adds the load of a
//! takeover. Unanswered calls therefore only raise a suspicion. The owner has
//! failed if its process is gone, if its heartbeats have stopped as well, or if
//! no host has reached it for long.

use pimentochute_base::{EpochNumber, MilliSpan, MilliTime};

use crate::heartbeat::{HEARTBEAT_INTERVAL, OwnerCondition};

/// The owner is suspected after this many consecutive unanswered calls.
const MISSED_CALLS_TO_SUSPECT: u32 = 2;

/// A suspected owner without a new heartbeat for this long has failed: three
/// heartbeat intervals.
const HEARTBEAT_TIMEOUT: MilliSpan = MilliSpan::new(750);

/// The longest time for which an owner whose answers are late may send no heartbeat.
const MAX_HEARTBEAT_TIMEOUT: MilliSpan = MilliSpan::new(3_000);

/// An owner that no host has reached for this long is replaced although its
/// heartbeats go on, since callers on other hosts do not reach it either.
const UNREACHABLE_TIMEOUT: MilliSpan = MilliSpan::new(3_000);

/// The same while pings reach the owner and the answers of the log do, but all are late.
const LATE_ANSWERS_TIMEOUT: MilliSpan = MilliSpan::new(12_000);

/// Whether another host reaches the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerObservation {
    /// The owner answers the other host, or the other host knows a newer owner.
    Reachable,
    /// The owner does not answer the other host either.
    Unreachable,
    /// The other host does not answer.
    NoAnswer,
}

/// What a host concludes about the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OwnerVerdict {
    /// The owner answers this host.
    Answers,
    /// Too few calls have failed to decide.
    Unclear,
    /// Another host reaches the owner, so the network is at fault.
    OthersReachIt,
    /// None of the asked hosts answers, so the network of this host may have
    /// failed.
    #[strum(to_string = "cut_off")]
    NoPeerAnswers,
    /// This host does not reach the owner, and no other host does.
    Suspect,
}

/// Why a suspected owner has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OwnerFailure {
    /// Its host refuses calls: the process is gone, its term has ended, or it cannot
    /// write to the log.
    Refused,
    /// There is no new heartbeat in the log.
    Silent,
    /// No host has reached it for long, although its heartbeats go on.
    Unreachable,
}

/// Counts unanswered calls to the owner and decides when to suspect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailureDetector {
    /// The epoch of the owner that the state is about.
    epoch: EpochNumber,
    /// The number of consecutive calls without an answer.
    missed_calls: u32,
    /// When the owner became suspect; `None` while it is not.
    suspected_since: Option<MilliTime>,
    /// The last call was refused: the process of the owner is gone, its term has
    /// ended, or it cannot write to the log.
    is_refused: bool,
    /// The newest heartbeat of the owner of `epoch` and when it was first read;
    /// `None` before the first read. The number is `None` if there was none.
    heartbeat: Option<(Option<u64>, MilliTime)>,
    /// How long the owner had waited for an answer of the log when it sent its newest
    /// heartbeat.
    answer_age: MilliSpan,
    /// Messages had to wait for the owner's link lately. Without that, answers that are late
    /// show a slow log or a cut, and not a full link.
    is_link_behind: bool,
    /// The number of pings that had reached the owner, and when it was first read to have
    /// risen to it; `None` before the first read.
    pings: Option<(u64, MilliTime)>,
}

impl FailureDetector {
    /// Creates the detector of a host that starts. It decides after the first
    /// unanswered call, since all hosts may have lost power together.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            epoch: EpochNumber::new(0),
            missed_calls: MISSED_CALLS_TO_SUSPECT - 1,
            suspected_since: None,
            is_refused: false,
            heartbeat: None,
            answer_age: MilliSpan::ZERO,
            is_link_behind: false,
            pings: None,
        }
    }

    /// Returns whether the last call was unanswered, so that other hosts should
    /// be asked. Also true on a host that has just started.
    #[must_use]
    pub const fn has_missed_calls(&self) -> bool {
        self.missed_calls > 0
    }

    /// Records a call to the owner of `epoch`, with the observations of the
    /// hosts that were asked. Without any, a host decides by its own calls.
    pub fn record_call(
        &mut self,
        epoch: EpochNumber,
        is_answered: bool,
        observations: &[PeerObservation],
        now: MilliTime,
    ) -> OwnerVerdict {
        self.follow_epoch(epoch);
        self.is_refused = false;
        if is_answered {
            self.missed_calls = 0;
            self.suspected_since = None;
            return OwnerVerdict::Answers;
        }
        self.missed_calls = self.missed_calls.saturating_add(1);
        let verdict = self.verdict(observations);
        if verdict == OwnerVerdict::Suspect {
            self.suspected_since.get_or_insert(now);
        } else {
            self.suspected_since = None;
        }
        verdict
    }

    /// Records that the owner's host refused the last call: it answered that it
    /// does not own the cell, or no process accepted the connection.
    pub const fn record_refusal(&mut self) {
        self.is_refused = true;
    }

    /// Records the number of the newest heartbeat of the owner of `epoch` in the
    /// log, read at `now`; `None` if there is none. Only a higher number than before
    /// counts: the log may carry out earlier appends late, and a former owner may
    /// have written over the newest one.
    pub fn record_heartbeat(&mut self, epoch: EpochNumber, number: Option<u64>, now: MilliTime) {
        self.follow_epoch(epoch);
        if self.heartbeat.is_none_or(|(known, _)| known < number) {
            self.heartbeat = Some((number, now));
        }
    }

    /// Records the condition of the owner of `epoch` as of a heartbeat that was read at
    /// `now`.
    pub fn record_condition(
        &mut self,
        epoch: EpochNumber,
        condition: OwnerCondition,
        now: MilliTime,
    ) {
        self.follow_epoch(epoch);
        self.answer_age = condition.answer_age;
        self.is_link_behind = condition.is_link_behind;
        if self.pings.is_none_or(|(known, _)| known < condition.pings) {
            self.pings = Some((condition.pings, now));
        }
    }

    /// Returns the number of consecutive calls without an answer.
    #[must_use]
    pub const fn missed_calls(&self) -> u32 {
        self.missed_calls
    }

    /// Returns why the owner of `epoch` has failed; `None` if it has not, or was not
    /// suspected for `delay` yet.
    #[must_use]
    pub fn failure(
        &self,
        epoch: EpochNumber,
        delay: MilliSpan,
        now: MilliTime,
    ) -> Option<OwnerFailure> {
        let suspected = now.since(self.suspected_since(epoch)?);
        if suspected < delay {
            None
        } else if self.is_refused {
            Some(OwnerFailure::Refused)
        } else if self.is_silent(epoch, now) {
            Some(OwnerFailure::Silent)
        } else if suspected >= delay + self.unreachable_timeout(now) {
            Some(OwnerFailure::Unreachable)
        } else {
            None
        }
    }

    /// Returns whether the heartbeats of the owner of `epoch` have stopped.
    #[must_use]
    pub fn is_silent(&self, epoch: EpochNumber, now: MilliTime) -> bool {
        let age = self.heartbeat_age(now).filter(|_| self.epoch == epoch);
        age.is_some_and(|age| age >= self.heartbeat_timeout())
    }

    /// Returns how long the heartbeats of a working owner may stay away. If the answers of
    /// the log reach it late, its link is full, and heartbeats may be as late.
    fn heartbeat_timeout(&self) -> MilliSpan {
        if !self.is_link_behind {
            return HEARTBEAT_TIMEOUT;
        }
        let lateness = self.answer_age.saturating_sub(HEARTBEAT_INTERVAL);
        let timeout = MilliSpan::new(3 * lateness.as_millis());
        timeout.clamp(HEARTBEAT_TIMEOUT, MAX_HEARTBEAT_TIMEOUT)
    }

    /// Returns how long a working owner may answer no host in time.
    fn unreachable_timeout(&self, now: MilliTime) -> MilliSpan {
        let is_reached = self
            .pings
            .is_some_and(|(_, at)| now.since(at) < UNREACHABLE_TIMEOUT);
        if self.is_link_behind && is_reached && self.answer_age < UNREACHABLE_TIMEOUT {
            LATE_ANSWERS_TIMEOUT
        } else {
            UNREACHABLE_TIMEOUT
        }
    }

    /// Returns the time since the newest heartbeat of the owner was first read; `None`
    /// before the first read.
    #[must_use]
    pub fn heartbeat_age(&self, now: MilliTime) -> Option<MilliSpan> {
        self.heartbeat.map(|(_, at)| now.since(at))
    }

    /// Returns whether the owner's host refused the last call.
    #[must_use]
    pub const fn is_refused(&self) -> bool {
        self.is_refused
    }

    /// Discards what is known about the owner of another epoch.
    fn follow_epoch(&mut self, epoch: EpochNumber) {
        if self.epoch != epoch {
            self.epoch = epoch;
            self.missed_calls = self.missed_calls.min(1);
            self.suspected_since = None;
            self.is_refused = false;
            self.heartbeat = None;
            self.answer_age = MilliSpan::ZERO;
            self.is_link_behind = false;
            self.pings = None;
        }
    }

    /// Ends a suspicion; called while the cell has no owner or this host does
    /// not watch it.
    pub fn clear(&mut self) {
        self.missed_calls = self.missed_calls.min(1);
        self.suspected_since = None;
    }

    /// Returns since when the owner of `epoch` is suspected; `None` if it is
    /// not.
    #[must_use]
    pub fn suspected_since(&self, epoch: EpochNumber) -> Option<MilliTime> {
        self.suspected_since.filter(|_| self.epoch == epoch)
    }

    fn verdict(&self, observations: &[PeerObservation]) -> OwnerVerdict {
        if self.missed_calls < MISSED_CALLS_TO_SUSPECT {
            return OwnerVerdict::Unclear;
        }
        if observations.contains(&PeerObservation::Reachable) {
            return OwnerVerdict::OthersReachIt;
        }
        if observations.is_empty() || observations.contains(&PeerObservation::Unreachable) {
            return OwnerVerdict::Suspect;
        }
        OwnerVerdict::NoPeerAnswers
    }
}

impl Default for FailureDetector {
    fn default() -> Self {
        Self::new()
    }
}
