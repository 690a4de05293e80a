//! An index of workers by free resources or by capacity, which finds a worker for
//! a demand without visiting all of them.

use std::collections::BTreeMap;

use pimentochute_base::ResourceAmount;
use slotmap::SecondaryMap;

use crate::buckets::{BUCKETS, bin_of, max_tasks_per_worker, plane_of, tasks_that_fit};
use crate::worker_table::WorkerKey;

/// The search leaves a bin after comparing this many workers that fit, if one of
/// them has penalty zero. Comparing more did not improve packing.
const MAX_COMPARED_PER_BIN: usize = 32;

/// A grid of workers, in bins of similar free resources or similar capacity. A
/// bin is one bucket of processor time and one of memory.
///
/// A search visits few bins, and the workers of each bin it visits. Bucket
/// boundaries grow by about a quarter, so the bins at the edge of the demand
/// may contain workers that do not fit. Each worker is therefore checked.
#[derive(Debug, Default)]
pub(crate) struct ResourceIndex {
    /// By number of accelerators. Grows up to the largest number seen.
    planes: Vec<IndexPlane>,
    /// The location of each worker in `planes`. Both hold the same workers.
    locations: SecondaryMap<WorkerKey, IndexLocation>,
}

impl ResourceIndex {
    /// Adds a worker or changes its amount.
    pub fn set(&mut self, worker: WorkerKey, amount: ResourceAmount) {
        let plane = plane_of(&amount);
        let bin = bin_of(&amount);
        if let Some(location) = self.locations.get(worker).copied() {
            if location.plane == plane && location.bin == bin {
                self.update_entry(location, amount);
                return;
            }
            self.remove(worker);
        }
        while self.planes.len() <= plane {
            self.planes.push(IndexPlane::new());
        }
        let position = self.planes[plane].push(bin, IndexEntry { worker, amount });
        self.locations.insert(
            worker,
            IndexLocation {
                plane,
                bin,
                position,
            },
        );
    }

    /// Removes a worker, if the index contains it.
    pub fn remove(&mut self, worker: WorkerKey) {
        let Some(location) = self.locations.remove(worker) else {
            return;
        };
        let moved = self.planes[location.plane].swap_remove(location.bin, location.position);
        if let Some(moved) = moved.and_then(|key| self.locations.get_mut(key)) {
            moved.position = location.position;
        }
    }

    /// Returns whether the index contains no worker.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns the worker with the lowest score among those that were compared,
    /// or `None` if no worker fits.
    pub fn search(&self, query: &IndexQuery<'_>) -> Option<WorkerKey> {
        let mut best: Option<(FitScore, WorkerKey)> = None;
        let mut budget = query.max_candidates;
        for plane in self.planes.iter().skip(plane_of(&query.demand)) {
            plane.search(query, &mut budget, &mut best);
            if budget == 0 || best.is_some_and(|(score, _)| score.penalty == 0) {
                break;
            }
        }
        best.map(|(_, worker)| worker)
    }

    /// Returns an upper bound of the number of tasks of `demand` that fit on the
    /// workers, but at most `enough`. Visits bins only, not workers.
    pub fn max_tasks_that_fit(&self, demand: &ResourceAmount, enough: u64) -> u64 {
        let mut tasks = 0u64;
        for plane in self.planes.iter().skip(plane_of(demand)) {
            for (bin, entries) in plane.bins_from(demand) {
                let each = max_tasks_per_worker(bin, demand);
                tasks = tasks.saturating_add(each.saturating_mul(entries.len() as u64));
                if tasks >= enough {
                    return enough;
                }
            }
        }
        tasks
    }

    /// Returns the exact number of tasks of `demand` that fit on the workers, but
    /// at most `enough`. Visits the workers that may fit until it is reached.
    pub fn count_tasks_that_fit(&self, demand: &ResourceAmount, enough: u64) -> u64 {
        let mut tasks = 0u64;
        for plane in self.planes.iter().skip(plane_of(demand)) {
            for (_, entries) in plane.bins_from(demand) {
                for entry in entries {
                    tasks = tasks.saturating_add(tasks_that_fit(&entry.amount, demand));
                    if tasks >= enough {
                        return enough;
                    }
                }
            }
        }
        tasks
    }

    /// Changes the amount of a worker that stays in its bin.
    fn update_entry(&mut self, location: IndexLocation, amount: ResourceAmount) {
        let entries = self.planes[location.plane].bins.get_mut(&location.bin);
        if let Some(entry) = entries.and_then(|entries| entries.get_mut(location.position)) {
            entry.amount = amount;
        }
    }
}

/// A search for a worker.
pub(crate) struct IndexQuery<'a> {
    /// The resources of the task.
    pub demand: ResourceAmount,
    /// The order in which bins are visited.
    pub order: SearchOrder,
    /// The search ends after this many workers that fit.
    pub max_candidates: usize,
    /// Scores a worker that fits, or returns `None` to exclude it.
    pub score: &'a dyn Fn(WorkerKey, &ResourceAmount) -> Option<FitScore>,
}

/// The order in which bins are searched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchOrder {
    /// Workers with the least free resources first.
    Tightest,
    /// Workers with the most free resources first.
    Emptiest,
}

/// The score of a worker for a task. The lowest score wins; `penalty` is
/// compared first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FitScore {
    /// A worker with penalty zero ends the search at its bin.
    pub penalty: u32,
    /// Decides between workers with the same penalty.
    pub leftover: u64,
}

/// The workers with the same number of accelerators; from 8 on they share
/// a plane.
#[derive(Debug)]
struct IndexPlane {
    /// Bit `m` of row `c` is set if and only if bin `(c, m)` contains a worker;
    /// `c` and `m` are the buckets of processor time and memory.
    rows: [u64; BUCKETS],
    /// Only bins that contain a worker.
    bins: BTreeMap<(u8, u8), Vec<IndexEntry>>,
}

impl IndexPlane {
    fn new() -> Self {
        Self {
            rows: [0; BUCKETS],
            bins: BTreeMap::new(),
        }
    }

    /// Adds an entry and returns its position in the bin.
    fn push(&mut self, bin: (u8, u8), entry: IndexEntry) -> usize {
        self.rows[usize::from(bin.0)] |= 1 << bin.1;
        let entries = self.bins.entry(bin).or_default();
        entries.push(entry);
        entries.len() - 1
    }

    /// Removes an entry and returns the worker that moves to its position, if
    /// any.
    fn swap_remove(&mut self, bin: (u8, u8), position: usize) -> Option<WorkerKey> {
        let entries = self.bins.get_mut(&bin)?;
        entries.swap_remove(position);
        let moved = entries.get(position).map(|entry| entry.worker);
        if entries.is_empty() {
            self.bins.remove(&bin);
            self.rows[usize::from(bin.0)] &= !(1 << bin.1);
        }
        moved
    }

    /// Returns the bins with workers that may fit the demand.
    fn bins_from<'a>(
        &'a self,
        demand: &ResourceAmount,
    ) -> impl Iterator<Item = ((u8, u8), &'a Vec<IndexEntry>)> + use<'a> {
        let (cpu, memory) = bin_of(demand);
        self.bins
            .range((cpu, 0)..)
            .filter(move |((_, bucket), _)| *bucket >= memory)
            .map(|(bin, entries)| (*bin, entries))
    }

    fn search(
        &self,
        query: &IndexQuery<'_>,
        budget: &mut usize,
        best: &mut Option<(FitScore, WorkerKey)>,
    ) {
        let (cpu, memory) = bin_of(&query.demand);
        let mut rows = self.rows;
        for row in &mut rows {
            *row &= u64::MAX << memory;
        }
        while *budget > 0 {
            let Some(bin) = next_bin(&rows, cpu, query.order) else {
                return;
            };
            rows[usize::from(bin.0)] &= !(1 << bin.1);
            let Some(entries) = self.bins.get(&bin) else {
                continue;
            };
            compare_entries(entries, query, budget, best);
            if best.is_some_and(|(score, _)| score.penalty == 0) {
                return;
            }
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct IndexEntry {
    worker: WorkerKey,
    amount: ResourceAmount,
}

#[derive(Debug, Clone, Copy)]
struct IndexLocation {
    plane: usize,
    bin: (u8, u8),
    position: usize,
}

/// Returns the lowest or the highest bin that contains a worker, from row `first`
/// on.
fn next_bin(rows: &[u64; BUCKETS], first: u8, order: SearchOrder) -> Option<(u8, u8)> {
    let bins = (first..64).filter_map(|row| {
        let mask = rows[usize::from(row)];
        let bucket = match order {
            SearchOrder::Tightest => mask.trailing_zeros(),
            SearchOrder::Emptiest => 63u32.checked_sub(mask.leading_zeros())?,
        };
        let bucket = u8::try_from(bucket).ok().filter(|bucket| *bucket < 64)?;
        Some((row, bucket))
    });
    match order {
        SearchOrder::Tightest => bins.min_by_key(|(row, bucket)| row + bucket),
        SearchOrder::Emptiest => bins.max_by_key(|(row, bucket)| row + bucket),
    }
}

fn compare_entries(
    entries: &[IndexEntry],
    query: &IndexQuery<'_>,
    budget: &mut usize,
    best: &mut Option<(FitScore, WorkerKey)>,
) {
    let mut compared = 0;
    for entry in entries {
        if !query.demand.fits_within(&entry.amount) {
            continue;
        }
        let Some(score) = (query.score)(entry.worker, &entry.amount) else {
            continue;
        };
        if best.is_none_or(|(lowest, _)| score < lowest) {
            *best = Some((score, entry.worker));
        }
        compared += 1;
        *budget = budget.saturating_sub(1);
        let settled = compared >= MAX_COMPARED_PER_BIN && best.is_some_and(|(s, _)| s.penalty == 0);
        if settled || *budget == 0 {
            return;
        }
    }
}
