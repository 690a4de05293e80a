//! Finds the gangs that have room and do not start.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::StepName;

use super::report::LateGang;

/// The platform asks for all jobs this long after the end of the traffic.
const QUESTION_DELAY: MilliSpan = MilliSpan::new(14_000);

/// The platform counts a job as lost that could run for this long and does not.
const LOST_TIME: MilliSpan = MilliSpan::new(3_000);

/// Since when gangs have had room.
#[derive(Debug, Default)]
pub(super) struct GangWatch {
    traffic_end: MilliTime,
    roomy_since: BTreeMap<StepName, MilliTime>,
    late: BTreeMap<StepName, LateGang>,
}

impl GangWatch {
    pub(super) fn new(traffic_end: MilliTime) -> Self {
        Self {
            traffic_end,
            ..Self::default()
        }
    }

    /// Adds the gangs that have room now, with the numbers of their tasks.
    pub(super) fn sample(&mut self, roomy: &BTreeMap<StepName, u32>, now: MilliTime) {
        self.roomy_since.retain(|step, _| roomy.contains_key(step));
        for (step, tasks) in roomy {
            let since = *self.roomy_since.entry(*step).or_insert(now);
            let stood = now.since(since);
            if now < self.traffic_end + QUESTION_DELAY || stood < LOST_TIME {
                continue;
            }
            let gang = LateGang {
                job: step.job.get(),
                tasks: *tasks,
                since: since.since(self.traffic_end),
                stood,
            };
            self.late.insert(*step, gang);
        }
    }

    pub(super) fn into_late(self) -> Vec<LateGang> {
        self.late.into_values().collect()
    }
}
