//! The workers and what is free on them.

use std::collections::{BTreeSet, HashMap};

use pimentochute_base::{RackName, ResourceAmount, WorkerIncarnation, WorkerName};
use slotmap::{SlotMap, new_key_type};

use crate::free_index::FreeIndex;
use crate::share_scale::{ShareScale, bounded};
use crate::{WorkerReadiness, WorkerSpec};

new_key_type! {
    /// A worker in the table.
    pub(crate) struct WorkerKey;
    /// A rack in the table.
    pub(crate) struct RackKey;
}

/// A worker and what its tasks use.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub name: WorkerName,
    pub incarnation: WorkerIncarnation,
    pub rack: Option<RackKey>,
    /// Nothing while the worker is not known.
    pub capacity: ResourceAmount,
    pub readiness: WorkerReadiness,
    /// Whether the worker was set and not removed since.
    pub known: bool,
    /// The sum over the tasks placed here. May exceed `capacity` if the cell
    /// records do not agree with it yet; then nothing is free.
    pub used: ResourceAmount,
    pub tasks: u32,
    /// Counts how often the worker stopped being usable.
    pub probe_generation: u32,
    /// Tasks placed in `probe_generation` while the worker was not usable; a probe
    /// worker is given one only if there is none.
    pub probe_tasks: u32,
    /// Whether the room is kept for a job that waited long.
    pub held: bool,
}

impl WorkerState {
    /// Returns what is free, whatever the readiness.
    pub fn free(&self) -> ResourceAmount {
        self.capacity.saturating_sub(&self.used)
    }

    /// Tells whether all tasks and one of `demand` fit. A worker that shrank
    /// below what its tasks use takes none, even of another resource: a
    /// record is valid only if the whole sum fits.
    pub fn fits(&self, demand: &ResourceAmount) -> bool {
        (self.used + *demand).fits_within(&self.capacity)
    }

    /// Tells whether a probe worker may be given a task.
    pub fn admits_probe(&self) -> bool {
        self.known && self.readiness == WorkerReadiness::Probe && self.probe_tasks == 0
    }
}

/// All workers. `open`, `kept` and `probes` are disjoint.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    workers: SlotMap<WorkerKey, WorkerState>,
    by_name: HashMap<WorkerName, WorkerKey>,
    racks: SlotMap<RackKey, RackName>,
    rack_names: HashMap<RackName, RackKey>,
    /// The usable workers that are not held, by free amount.
    pub unheld: FreeIndex,
    /// The usable workers that are held, by free amount.
    pub held: FreeIndex,
    /// The probe workers.
    pub probe_workers: BTreeSet<WorkerKey>,
    /// The known workers by capacity.
    pub by_capacity: FreeIndex,
    /// The sum over the usable workers.
    total: ResourceAmount,
    /// Made from `total`.
    scale: ShareScale,
    /// The sum of `used` over all workers.
    pub used: ResourceAmount,
}

impl WorkerTable {
    /// Returns a worker.
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

    /// Counts the known workers.
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

    /// Tells whether a quarantined worker needs a probe and has room for it.
    pub fn has_probe_for(&self, demand: &ResourceAmount) -> bool {
        let mut probes = self
            .probe_workers
            .iter()
            .filter_map(|key| self.workers.get(*key));
        probes.any(|state| state.admits_probe() && state.fits(demand))
    }

    /// Adds or replaces a worker.
    pub fn set(&mut self, spec: WorkerSpec) {
        let rack = self.rack_key(spec.rack);
        let key = self.key_of(spec.name);
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

    /// Forgets the capacity of a worker; it stays while tasks are on it.
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
        self.drop_if_idle(key);
    }

    /// Returns the key of a worker, which becomes an entry without capacity
    /// if it is not there.
    pub fn key_of(&mut self, name: WorkerName) -> WorkerKey {
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

    /// Counts a task on a worker. Returns the era if it may be a probe.
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

    /// Takes a task off a worker.
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
        self.drop_if_idle(key);
    }

    /// Sets whether a worker's room is kept for a waiting job.
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
        let usable = state.known
            && state.readiness == WorkerReadiness::Usable
            && state.used.fits_within(&state.capacity);
        let free = state.free();
        if usable && state.held {
            self.unheld.remove(key);
            self.held.set(key, free);
        } else if usable {
            self.held.remove(key);
            self.unheld.set(key, free);
        } else {
            self.unheld.remove(key);
            self.held.remove(key);
        }
    }

    /// Takes a worker out of the sums and indexes before it changes.
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

    /// Puts a known worker back into the sums and indexes.
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

    fn drop_if_idle(&mut self, key: WorkerKey) {
        if let Some(state) = self.workers.get(key)
            && !state.known
            && state.tasks == 0
        {
            self.by_name.remove(&state.name);
            self.workers.remove(key);
        }
    }

    /// Racks are few and are never forgotten.
    fn rack_key(&mut self, name: RackName) -> RackKey {
        if let Some(key) = self.rack_names.get(&name) {
            return *key;
        }
        let key = self.racks.insert(name.clone());
        self.rack_names.insert(name, key);
        key
    }
}
