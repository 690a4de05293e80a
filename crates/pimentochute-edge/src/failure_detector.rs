//! What a host believes of the owner, by its own calls and by what other hosts
//! see.

use pimentochute_base::{EpochNumber, MilliTime};

/// The calls in a row without an answer after which the owner is suspected.
const MISSED_CALLS_TO_SUSPECT: u32 = 2;

/// What another host sees of the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerObservation {
    /// The owner answers the other host, or was replaced already.
    Reachable,
    /// The owner does not answer the other host either.
    Unreachable,
    /// The other host does not answer.
    NoAnswer,
}

/// Why a host holds the owner to work or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OwnerVerdict {
    /// The owner answers this host.
    Answers,
    /// Too few calls were missed to tell.
    Unclear,
    /// Another host gets answers, so the network is at fault.
    OthersReachIt,
    /// No other host answers: this one may be the one that is cut off.
    CutOff,
    /// Neither this host nor others get an answer.
    Suspect,
}

/// What a host believes of the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailureDetector {
    /// The owner that is watched.
    epoch: EpochNumber,
    /// The calls in a row without an answer.
    missed_calls: u32,
    /// Set while the verdict is that the owner does not work.
    suspected_since: Option<MilliTime>,
}

impl FailureDetector {
    /// Creates the watch of a host that starts. It decides after its first
    /// missed call: all hosts may have lost power together.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            epoch: EpochNumber::new(0),
            missed_calls: MISSED_CALLS_TO_SUSPECT - 1,
            suspected_since: None,
        }
    }

    /// Tells whether the last call was missed, so that others should be asked.
    #[must_use]
    pub const fn has_missed_calls(&self) -> bool {
        self.missed_calls > 0
    }

    /// Notes a call to the owner of `epoch` and, where others were asked, what
    /// they see. A host that has nobody to ask goes by its own calls.
    pub fn record_call(
        &mut self,
        epoch: EpochNumber,
        is_answered: bool,
        observations: &[PeerObservation],
        now: MilliTime,
    ) -> OwnerVerdict {
        if self.epoch != epoch {
            self.epoch = epoch;
            self.missed_calls = self.missed_calls.min(1);
            self.suspected_since = None;
        }
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

    /// Forgets the owner; there is none, or this host is it.
    pub fn clear(&mut self) {
        self.missed_calls = self.missed_calls.min(1);
        self.suspected_since = None;
    }

    /// Returns since when the owner of `epoch` is suspected.
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
        OwnerVerdict::CutOff
    }
}

impl Default for FailureDetector {
    fn default() -> Self {
        Self::new()
    }
}
