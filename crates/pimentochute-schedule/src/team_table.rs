//! The table of teams, with their usage and due jobs.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pimentochute_base::{ResourceAmount, TeamName};
use slotmap::{SlotMap, new_key_type};

use crate::class_order::CLASS_COUNT;
use crate::job_table::JobKey;
use crate::shape_table::ShapeKey;
use crate::{JobRank, ShareScale, TeamOrder, TeamSpec, TeamUsage};

new_key_type! {
    /// A team in the table.
    pub(crate) struct TeamKey;
}

/// A team with its usage and its due jobs.
#[derive(Debug)]
pub(crate) struct TeamState {
    pub name: TeamName,
    pub share: u32,
    /// Zero while the team is not known.
    pub allotment: u32,
    /// Whether the team was set and has not been removed since.
    pub known: bool,
    /// The number of placed tasks, including reserved ones. Decisions never
    /// raise it above `allotment`, but the allotment may be lowered below it.
    pub placed: u32,
    /// The resources that those tasks use.
    pub used: ResourceAmount,
    /// The number of jobs of the team in the job table.
    pub jobs: u32,
    /// The jobs that may be placed now, per class and shape. No set is empty.
    pub due: [BTreeMap<ShapeKey, BTreeSet<(JobRank, JobKey)>>; CLASS_COUNT],
    /// The rank of the team in the queue of each class, if it is queued there.
    queued_ranks: [Option<u64>; CLASS_COUNT],
}

impl TeamState {
    fn new(name: TeamName) -> Self {
        Self {
            name,
            share: 1,
            allotment: 0,
            known: false,
            placed: 0,
            used: ResourceAmount::ZERO,
            jobs: 0,
            due: Default::default(),
            queued_ranks: [None; CLASS_COUNT],
        }
    }

    /// Returns how many more tasks the allotment allows.
    pub fn headroom(&self) -> u32 {
        self.allotment.saturating_sub(self.placed)
    }

    pub fn add_due(&mut self, class: usize, shape: ShapeKey, entry: (JobRank, JobKey)) {
        self.due[class].entry(shape).or_default().insert(entry);
    }

    /// Removes a job that is no longer due, if it is listed.
    pub fn remove_due(&mut self, class: usize, shape: ShapeKey, entry: (JobRank, JobKey)) {
        if let Some(jobs) = self.due[class].get_mut(&shape) {
            jobs.remove(&entry);
            if jobs.is_empty() {
                self.due[class].remove(&shape);
            }
        }
    }

    /// Returns the first due job of each class and shape.
    pub fn first_due(&self) -> impl Iterator<Item = JobKey> + '_ {
        let shapes = self.due.iter().flat_map(BTreeMap::values);
        shapes.filter_map(|jobs| jobs.first().map(|(_, key)| *key))
    }
}

/// All teams, with a queue of the teams with due jobs for each class.
#[derive(Debug, Default)]
pub(crate) struct TeamTable {
    teams: SlotMap<TeamKey, TeamState>,
    by_name: HashMap<TeamName, TeamKey>,
    /// The known teams with due jobs of the class, by rank. Contains no others.
    queues: [BTreeSet<(u64, TeamKey)>; CLASS_COUNT],
}

impl TeamTable {
    pub fn get(&self, key: TeamKey) -> Option<&TeamState> {
        self.teams.get(key)
    }

    /// Returns a team for changes. [`TeamTable::requeue_or_remove`] has to
    /// be called afterwards.
    pub fn get_mut(&mut self, key: TeamKey) -> Option<&mut TeamState> {
        self.teams.get_mut(key)
    }

    /// Returns the key of a team.
    pub fn find(&self, name: &TeamName) -> Option<TeamKey> {
        self.by_name.get(name).copied()
    }

    pub fn keys(&self) -> Vec<TeamKey> {
        self.teams.keys().collect()
    }

    pub fn iter(&self) -> impl Iterator<Item = &TeamState> {
        self.teams.values()
    }

    /// Returns the number of known teams.
    pub fn known_count(&self) -> usize {
        self.teams.values().filter(|state| state.known).count()
    }

    /// Returns the key of a team. If the table has no entry, inserts one for an
    /// unknown team.
    pub fn get_or_insert(&mut self, name: TeamName) -> TeamKey {
        if let Some(key) = self.find(&name) {
            return key;
        }
        let key = self.teams.insert(TeamState::new(name.clone()));
        self.by_name.insert(name, key);
        key
    }

    /// Adds or replaces a team.
    pub fn set(&mut self, spec: TeamSpec) -> TeamKey {
        let key = self.get_or_insert(spec.name);
        if let Some(state) = self.teams.get_mut(key) {
            state.share = spec.share.max(1);
            state.allotment = spec.allotment;
            state.known = true;
        }
        key
    }

    /// Returns the team after `after` in the queue of a class, with its rank.
    pub fn next_in(&self, class: usize, after: Option<(u64, TeamKey)>) -> Option<(u64, TeamKey)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let queue = &self.queues[class];
        match after {
            None => queue.first().copied(),
            Some(last) => queue.range((Excluded(last), Unbounded)).next().copied(),
        }
    }

    /// Returns which classes have due jobs.
    pub fn classes_due(&self) -> [bool; CLASS_COUNT] {
        std::array::from_fn(|class| !self.queues[class].is_empty())
    }

    /// Returns the rank of a team.
    pub fn rank(&self, key: TeamKey, order: &dyn TeamOrder, scale: &ShareScale) -> u64 {
        self.teams.get(key).map_or(u64::MAX, |state| {
            order.rank(&TeamUsage {
                used: &state.used,
                tasks: state.placed,
                share: state.share,
                scale,
            })
        })
    }

    /// Updates the queues after a team changed. Removes an unknown team without
    /// jobs and placed tasks.
    pub fn requeue_or_remove(&mut self, key: TeamKey, order: &dyn TeamOrder, scale: &ShareScale) {
        let rank = self.rank(key, order, scale);
        let Some(state) = self.teams.get_mut(key) else {
            return;
        };
        for class in 0..CLASS_COUNT {
            let wanted = (state.known && !state.due[class].is_empty()).then_some(rank);
            if state.queued_ranks[class] == wanted {
                continue;
            }
            if let Some(old) = state.queued_ranks[class] {
                self.queues[class].remove(&(old, key));
            }
            if let Some(new) = wanted {
                self.queues[class].insert((new, key));
            }
            state.queued_ranks[class] = wanted;
        }
        if !state.known && state.placed == 0 && state.jobs == 0 {
            self.by_name.remove(&state.name);
            self.teams.remove(key);
        }
    }
}
