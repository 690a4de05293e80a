//! The table of workers and their free resources.

use std::collections::{BTreeSet, HashMap};

use pimentochute_base::{RackName, ResourceAmount, WorkerIncarnation, WorkerName};
use slotmap::{SlotMap, new_key_type};

use crate::resource_index::ResourceIndex;
use crate::share_scale::{ShareScale, bounded};
use crate::{WorkerReadiness, WorkerSpec};

new_key_type! {
    /// A worker in the table.
    pub(crate) struct WorkerKey;
    /// A rack in the table.
    pub(crate) struct RackKey;
}

/// A worker and the resources that its tasks use.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub name: WorkerName,
    pub incarnation: WorkerIncarnation,
    pub rack: Option<RackKey>,
    /// Zero while the worker is not known.
    pub capacity: ResourceAmount,
    pub readiness: WorkerReadiness,
    /// Whether the worker was set and has not been removed since. An unknown
    /// worker stays in the table while tasks are placed on it.
    pub known: bool,
    /// The sum over the tasks placed here. May exceed `capacity` while the cell
    /// log does not reflect it yet; then nothing is free.
    pub used: ResourceAmount,
    pub tasks: u32,
    /// Incremented whenever the worker stops being usable, so that tasks placed
    /// before do not count as probes.
    pub probe_generation: u32,
    /// The tasks placed in `probe_generation` while the worker was not usable. A
    /// probe worker is given a task only if this is zero.
    pub probe_tasks: u32,
    /// Whether the worker is held for a job that has waited long.
    pub held: bool,
}

impl WorkerState {
    /// Returns the free resources, regardless of the readiness.
    pub fn free(&self) -> ResourceAmount {
        self.capacity.saturating_sub(&self.used)
    }

    /// Returns whether a task of `demand` fits beside the placed tasks.
    ///
    /// If any resource is overcommitted, nothing fits, even if the task does not
    /// use it: a record is valid only if the sum of all resources fits.
    pub fn fits(&self, demand: &ResourceAmount) -> bool {
        (self.used + *demand).fits_within(&self.capacity)
    }

    /// Returns whether the worker needs a probe and none is running.
    pub fn admits_probe(&self) -> bool {
        self.known && self.readiness == WorkerReadiness::Probe && self.probe_tasks == 0
    }
}

/// All workers. `unheld`, `held` and `probe_workers` are disjoint.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    workers: SlotMap<WorkerKey, WorkerState>,
    by_name: HashMap<WorkerName, WorkerKey>,
    racks: SlotMap<RackKey, RackName>,
    rack_names: HashMap<RackName, RackKey>,
    /// The usable workers that are neither held nor overcommitted, by free
    /// resources.
    pub unheld: ResourceIndex,
    /// The usable workers that are held and not overcommitted, by free resources.
    pub held: ResourceIndex,
    /// The quarantined workers that are given probe tasks.
    pub probe_workers: BTreeSet<WorkerKey>,
    /// All known workers by capacity, regardless of their readiness.
    pub by_capacity: ResourceIndex,
    /// The capacity of the usable workers.
    total: ResourceAmount,
    /// The scale of shares of `total`.
    scale: ShareScale,
    /// The sum of `used` over all workers.
    pub used: ResourceAmount,
}

impl WorkerTable {
    pub fn get(&self, key: WorkerKey) -> Option<&WorkerState> {
        self.workers.get(key)
    }

    /// Returns the key of a worker.
    pub fn find(&self, name: &WorkerName) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    /// Returns all workers with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &WorkerState)> {
        self.workers.iter()
    }

    /// Returns the number of known workers.
    pub fn known_count(&self) -> usize {
        self.workers.values().filter(|state| state.known).count()
    }

    /// Returns the scale of shares of the usable capacity.
    pub fn scale(&self) -> &ShareScale {
        &self.scale
    }

    /// Returns the capacity of the usable workers.
    pub fn total(&self) -> ResourceAmount {
        self.total
    }

    /// Returns whether a quarantined worker needs a probe and `demand` fits on
    /// it.
    pub fn has_probe_for(&self, demand: &ResourceAmount) -> bool {
        let mut probes = self
            .probe_workers
            .iter()
            .filter_map(|key| self.workers.get(*key));
        probes.any(|state| state.admits_probe() && state.fits(demand))
    }

    /// Adds or replaces a worker.
    pub fn set(&mut self, spec: WorkerSpec) {
        let rack = self.get_or_insert_rack(spec.rack);
        let key = self.get_or_insert(spec.name);
        self.remove_from_indexes(key);
        let Some(state) = self.workers.get_mut(key) else {
            return;
        };
        let stops = spec.readiness != WorkerReadiness::Usable
            && state.known
            && state.readiness == WorkerReadiness::Usable;
        if stops {
            state.probe_generation = state.probe_generation.wrapping_add(1);
            state.probe_tasks = 0;
        }
        state.incarnation = spec.incarnation;
        state.rack = Some(rack);
        state.capacity = bounded(spec.capacity);
        state.readiness = spec.readiness;
        state.known = true;
        self.add_to_indexes(key);
        self.scale = ShareScale::new(&self.total);
    }

    /// Removes the capacity of a worker. Its entry stays while tasks are placed
    /// on it.
    pub fn remove(&mut self, name: &WorkerName) {
        let Some(key) = self.find(name) else {
            return;
        };
        self.remove_from_indexes(key);
        if let Some(state) = self.workers.get_mut(key) {
            state.known = false;
            state.capacity = ResourceAmount::ZERO;
            state.readiness = WorkerReadiness::Unusable;
        }
        self.scale = ShareScale::new(&self.total);
        self.remove_if_idle(key);
    }

    /// Returns the key of a worker. If the table has no entry, inserts one for an
    /// unknown worker without capacity.
    pub fn get_or_insert(&mut self, name: WorkerName) -> WorkerKey {
        if let Some(key) = self.find(&name) {
            return key;
        }
        let key = self.workers.insert(WorkerState {
            name: name.clone(),
            incarnation: WorkerIncarnation::new(0),
            rack: None,
            capacity: ResourceAmount::ZERO,
            readiness: WorkerReadiness::Unusable,
            known: false,
            used: ResourceAmount::ZERO,
            tasks: 0,
            probe_generation: 0,
            probe_tasks: 0,
            held: false,
        });
        self.by_name.insert(name, key);
        key
    }

    /// Adds a task to a worker. Returns the probe generation if the worker is not
    /// usable, in which case the task counts as a probe.
    pub fn add_task(&mut self, key: WorkerKey, demand: &ResourceAmount) -> Option<u32> {
        let state = self.workers.get_mut(key)?;
        state.used += *demand;
        state.tasks += 1;
        self.used += *demand;
        let probing = state.readiness != WorkerReadiness::Usable;
        let generation = probing.then_some(state.probe_generation);
        if probing {
            state.probe_tasks += 1;
        }
        self.reindex(key);
        generation
    }

    /// Removes a task from a worker. `generation` is what `add_task` returned.
    pub fn remove_task(
        &mut self,
        key: WorkerKey,
        demand: &ResourceAmount,
        generation: Option<u32>,
    ) {
        let Some(state) = self.workers.get_mut(key) else {
            return;
        };
        state.used = state.used.saturating_sub(demand);
        state.tasks = state.tasks.saturating_sub(1);
        self.used = self.used.saturating_sub(demand);
        if generation == Some(state.probe_generation) {
            state.probe_tasks = state.probe_tasks.saturating_sub(1);
        }
        self.reindex(key);
        self.remove_if_idle(key);
    }

    /// Sets whether a worker is held for a waiting job.
    pub fn set_held(&mut self, key: WorkerKey, held: bool) {
        if let Some(state) = self.workers.get_mut(key) {
            state.held = held;
            self.reindex(key);
        }
    }

    /// Moves the worker to the index that matches its state.
    fn reindex(&mut self, key: WorkerKey) {
        let Some(state) = self.workers.get(key) else {
            return;
        };
        let can_take_tasks = state.known
            && state.readiness == WorkerReadiness::Usable
            && state.used.fits_within(&state.capacity);
        let free = state.free();
        if can_take_tasks && state.held {
            self.unheld.remove(key);
            self.held.set(key, free);
        } else if can_take_tasks {
            self.held.remove(key);
            self.unheld.set(key, free);
        } else {
            self.unheld.remove(key);
            self.held.remove(key);
        }
    }

    /// Removes a worker from the total capacity and the indexes, before its
    /// capacity or readiness changes.
    fn remove_from_indexes(&mut self, key: WorkerKey) {
        if let Some(state) = self.workers.get(key)
            && state.known
        {
            if state.readiness == WorkerReadiness::Usable {
                self.total = self.total.saturating_sub(&state.capacity);
            }
            self.by_capacity.remove(key);
            self.unheld.remove(key);
            self.held.remove(key);
            self.probe_workers.remove(&key);
        }
    }

    /// Adds a known worker to the total capacity and the indexes.
    fn add_to_indexes(&mut self, key: WorkerKey) {
        if let Some(state) = self.workers.get(key) {
            match state.readiness {
                WorkerReadiness::Usable => self.total += state.capacity,
                WorkerReadiness::Probe => {
                    self.probe_workers.insert(key);
                }
                WorkerReadiness::Unusable => {}
            }
            self.by_capacity.set(key, state.capacity);
            self.reindex(key);
        }
    }

    fn remove_if_idle(&mut self, key: WorkerKey) {
        if let Some(state) = self.workers.get(key)
            && !state.known
            && state.tasks == 0
        {
            self.by_name.remove(&state.name);
            self.workers.remove(key);
        }
    }

    /// Returns the key of a rack, and inserts the rack if it is new. Racks are
    /// few and are never removed.
    fn get_or_insert_rack(&mut self, name: RackName) -> RackKey {
        if let Some(key) = self.rack_names.get(&name) {
            return *key;
        }
        let key = self.racks.insert(name.clone());
        self.rack_names.insert(name, key);
        key
    }
}
