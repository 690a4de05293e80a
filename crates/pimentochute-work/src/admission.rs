//! Which new jobs are refused at once because they cannot be served in time.
//!
//! The loads that this answers: more work arrives for many seconds than the workers can run,
//! so that what arrives last would wait until it is of no use; and a team sends many times its
//! usual, so that its jobs beyond its rate would only wait behind those of the others.

use pimentochute_base::MilliSpan;
use strum::IntoStaticStr;

use crate::JobCode;

/// Jobs are refused only while room has been scarce for this long: a shorter wait is served
/// from the next runs that end.
const MIN_SCARCE: MilliSpan = MilliSpan::new(1_000);

/// An owner refuses nothing for this long after it began, since it does not know all runs. It
/// also refuses nothing for this long after a host appended a job itself, since that host may
/// still hold a job whose caller sends it again elsewhere. It is longer than callers wait for
/// an answer.
const MIN_QUIET: MilliSpan = MilliSpan::new(5_000);

/// The estimate of a wait needs workers that are busy: otherwise jobs wait for something else
/// than room, such as advice.
const MIN_USED_PPM: u64 = 600_000;

/// The part of the estimated wait that is certain, in percent: estimates of callers may be off
/// by a factor of two, and jobs ahead that become late give way.
const CERTAIN_PERCENT: u64 = 25;

/// The shortest and the longest time after which a refused caller returns.
const MIN_RETRY: MilliSpan = MilliSpan::new(1_000);
const MAX_RETRY: MilliSpan = MilliSpan::new(8_000);

/// The state of the cell when a job arrives.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct AdmissionLoad {
    /// How long room has been scarce; zero while it is not.
    pub(crate) scarce_for: MilliSpan,
    /// The time since the owner began, or since a host last appended a job itself.
    pub(crate) quiet_for: MilliSpan,
    /// The part of the capacity that runs take, in millionths.
    pub(crate) used_ppm: u64,
    /// The waiting work that ranks before the job: the time that it takes if it has all the
    /// capacity.
    pub(crate) ahead: MilliSpan,
}

/// What a new job needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobOutlook {
    pub(crate) code: JobCode,
    /// The expected time if it starts at once.
    pub(crate) span: MilliSpan,
    /// The time until its objective.
    pub(crate) until_objective: MilliSpan,
    /// The time until its end is of no use any more.
    pub(crate) until_useless: MilliSpan,
    /// Its team submits faster than its rate.
    pub(crate) is_over_rate: bool,
    /// Its team uses less than its share, so that others have to wait for it.
    pub(crate) is_below_share: bool,
}

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum AdmissionReason {
    /// It would end too late to be of use.
    TooLate,
    /// Its team sends more than its rate while others wait, so that it would be late.
    OverRate,
}

/// The refusal of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AdmissionRefusal {
    pub(crate) reason: AdmissionReason,
    /// The estimated time until the job would start.
    pub(crate) wait: MilliSpan,
    /// When the caller should return.
    pub(crate) retry_after: MilliSpan,
}

impl AdmissionLoad {
    /// Returns the refusal of a job; `None` if it is accepted.
    pub(crate) fn refusal(&self, job: &JobOutlook) -> Option<AdmissionRefusal> {
        let is_known = self.quiet_for >= MIN_QUIET && self.used_ppm >= MIN_USED_PPM;
        if !is_known || self.scarce_for < MIN_SCARCE {
            return None;
        }
        let wait = self.wait();
        let certain = MilliSpan::new(wait.as_millis() * CERTAIN_PERCENT / 100);
        let reason = if certain + job.span > job.until_useless && !job.is_below_share {
            AdmissionReason::TooLate
        } else if job.is_over_rate && wait + job.span > job.until_objective {
            AdmissionReason::OverRate
        } else {
            return None;
        };
        // It has room in time once this much less waits before it.
        let excess = (wait + job.span).saturating_sub(job.until_objective);
        Some(AdmissionRefusal {
            reason,
            wait,
            retry_after: spread_retry(job.code, excess),
        })
    }

    /// Returns the estimated time until the work ahead has started.
    fn wait(&self) -> MilliSpan {
        let drained_ppm = self.used_ppm.clamp(1, 1_000_000);
        MilliSpan::new(self.ahead.as_millis().saturating_mul(1_000_000) / drained_ppm)
    }
}

/// Returns when the caller of a refused call about a job should return: in whole seconds, not
/// before `base`, and spread by the job so that callers who are refused together do not return
/// together.
pub(crate) fn spread_retry(code: JobCode, base: MilliSpan) -> MilliSpan {
    let base = base.clamp(MIN_RETRY, MAX_RETRY).as_millis().div_ceil(1_000);
    MilliSpan::new((base + spread(code, base + 1)) * 1_000)
}

/// Returns a number below `values` that depends on the job alone.
fn spread(code: JobCode, values: u64) -> u64 {
    // The multiplier of Fibonacci hashing, 2^64 divided by the golden ratio.
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    (code.get().wrapping_mul(MULTIPLIER) >> 32) % values
}

/// Returns when the caller of a job should return that a host refuses without its owner: after
/// one or two seconds, spread by the job.
#[must_use]
pub fn retry_without_owner(code: JobCode) -> MilliSpan {
    MIN_RETRY + MilliSpan::new(spread(code, 2) * 1_000)
}
