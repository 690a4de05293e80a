//! An index of workers by free resources, which finds a worker for a demand
//! without visiting all of them.

use std::collections::BTreeMap;

use pimentochute_base::ResourceAmount;
use slotmap::SecondaryMap;

use crate::buckets::{BUCKETS, cell_of, plane_of, slots_bound, slots_in};
use crate::worker_table::WorkerKey;

/// The number of workers that fit and are compared per cell. Comparing more did
/// not improve packing.
const MAX_COMPARED_PER_CELL: usize = 32;

/// The order in which cells are searched.
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
    /// A worker with penalty zero ends the search at its cell.
    pub penalty: u32,
    /// Decides between workers with the same penalty.
    pub leftover: u64,
}

/// A search for a worker.
pub(crate) struct FreeQuery<'a> {
    /// The resources of the task.
    pub demand: ResourceAmount,
    /// The order in which cells are visited.
    pub order: SearchOrder,
    /// The search ends after this many workers that fit.
    pub max_candidates: usize,
    /// Scores a worker that fits, or returns `None` to exclude it.
    pub score: &'a dyn Fn(WorkerKey, &ResourceAmount) -> Option<FitScore>,
}

/// A grid of workers, in cells of similar free resources.
///
/// A search visits few cells, and the workers of each cell it visits. Bucket
/// boundaries grow by about a quarter, so the cells at the edge of the demand
/// may contain workers that do not fit. Each worker is therefore checked.
#[derive(Debug, Default)]
pub(crate) struct FreeIndex {
    /// By number of free accelerators. Grows up to the largest number seen.
    planes: Vec<IndexPlane>,
    /// The location of each worker in `planes`. Both hold the same workers.
    locations: SecondaryMap<WorkerKey, IndexLocation>,
}

/// The workers with the same number of free accelerators; from 8 on they share
/// a plane.
#[derive(Debug)]
struct IndexPlane {
    /// Bit `m` of row `c` is set if and only if cell `(c, m)` contains a worker;
    /// `c` and `m` are the buckets of processor time and memory.
    rows: [u64; BUCKETS],
    /// Only cells that contain a worker.
    cells: BTreeMap<(u8, u8), Vec<IndexEntry>>,
}

#[derive(Debug, Clone, Copy)]
struct IndexEntry {
    worker: WorkerKey,
    free: ResourceAmount,
}

#[derive(Debug, Clone, Copy)]
struct IndexLocation {
    plane: usize,
    cell: (u8, u8),
    position: usize,
}

impl FreeIndex {
    /// Adds a worker or changes its free resources.
    pub fn set(&mut self, worker: WorkerKey, free: ResourceAmount) {
        let plane = plane_of(&free);
        let cell = cell_of(&free);
        if let Some(location) = self.locations.get(worker).copied() {
            if location.plane == plane && location.cell == cell {
                self.update_entry(location, free);
                return;
            }
            self.remove(worker);
        }
        while self.planes.len() <= plane {
            self.planes.push(IndexPlane::new());
        }
        let position = self.planes[plane].push(cell, IndexEntry { worker, free });
        self.locations.insert(
            worker,
            IndexLocation {
                plane,
                cell,
                position,
            },
        );
    }

    /// Removes a worker, if the index contains it.
    pub fn remove(&mut self, worker: WorkerKey) {
        let Some(location) = self.locations.remove(worker) else {
            return;
        };
        let moved = self.planes[location.plane].swap_remove(location.cell, location.position);
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
    pub fn search(&self, query: &FreeQuery<'_>) -> Option<WorkerKey> {
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
    /// workers, but at most `enough`. Visits cells only, not workers.
    pub fn slots_upper_bound(&self, demand: &ResourceAmount, enough: u64) -> u64 {
        let mut slots = 0u64;
        for plane in self.planes.iter().skip(plane_of(demand)) {
            for (cell, entries) in plane.cells_from(demand) {
                let each = slots_bound(cell, demand);
                slots = slots.saturating_add(each.saturating_mul(entries.len() as u64));
                if slots >= enough {
                    return enough;
                }
            }
        }
        slots
    }

    /// Returns the exact number of tasks of `demand` that fit on the workers, but
    /// at most `enough`. Visits the workers that may fit until it is reached.
    pub fn count_slots(&self, demand: &ResourceAmount, enough: u64) -> u64 {
        let mut slots = 0u64;
        for plane in self.planes.iter().skip(plane_of(demand)) {
            for (_, entries) in plane.cells_from(demand) {
                for entry in entries {
                    slots = slots.saturating_add(slots_in(&entry.free, demand));
                    if slots >= enough {
                        return enough;
                    }
                }
            }
        }
        slots
    }

    /// Changes the free resources of a worker that stays in its cell.
    fn update_entry(&mut self, location: IndexLocation, free: ResourceAmount) {
        let entries = self.planes[location.plane].cells.get_mut(&location.cell);
        if let Some(entry) = entries.and_then(|entries| entries.get_mut(location.position)) {
            entry.free = free;
        }
    }
}

impl IndexPlane {
    fn new() -> Self {
        Self {
            rows: [0; BUCKETS],
            cells: BTreeMap::new(),
        }
    }

    /// Adds an entry and returns its position in the cell.
    fn push(&mut self, cell: (u8, u8), entry: IndexEntry) -> usize {
        self.rows[usize::from(cell.0)] |= 1 << cell.1;
        let entries = self.cells.entry(cell).or_default();
        entries.push(entry);
        entries.len() - 1
    }

    /// Removes an entry and returns the worker that moves to its position, if
    /// any.
    fn swap_remove(&mut self, cell: (u8, u8), position: usize) -> Option<WorkerKey> {
        let entries = self.cells.get_mut(&cell)?;
        entries.swap_remove(position);
        let moved = entries.get(position).map(|entry| entry.worker);
        if entries.is_empty() {
            self.cells.remove(&cell);
            self.rows[usize::from(cell.0)] &= !(1 << cell.1);
        }
        moved
    }

    /// Returns the cells with workers that may fit the demand.
    fn cells_from<'a>(
        &'a self,
        demand: &ResourceAmount,
    ) -> impl Iterator<Item = ((u8, u8), &'a Vec<IndexEntry>)> + use<'a> {
        let (cpu, memory) = cell_of(demand);
        self.cells
            .range((cpu, 0)..)
            .filter(move |((_, bucket), _)| *bucket >= memory)
            .map(|(cell, entries)| (*cell, entries))
    }

    fn search(
        &self,
        query: &FreeQuery<'_>,
        budget: &mut usize,
        best: &mut Option<(FitScore, WorkerKey)>,
    ) {
        let (cpu, memory) = cell_of(&query.demand);
        let mut rows = self.rows;
        for row in &mut rows {
            *row &= u64::MAX << memory;
        }
        while *budget > 0 {
            let Some(cell) = next_cell(&rows, cpu, query.order) else {
                return;
            };
            rows[usize::from(cell.0)] &= !(1 << cell.1);
            let Some(entries) = self.cells.get(&cell) else {
                continue;
            };
            compare_entries(entries, query, budget, best);
            if best.is_some_and(|(score, _)| score.penalty == 0) {
                return;
            }
        }
    }
}

/// Returns the cell with the least or the most free resources, from row `first`
/// on.
fn next_cell(rows: &[u64; BUCKETS], first: u8, order: SearchOrder) -> Option<(u8, u8)> {
    let cells = (first..64).filter_map(|row| {
        let mask = rows[usize::from(row)];
        let bucket = match order {
            SearchOrder::Tightest => mask.trailing_zeros(),
            SearchOrder::Emptiest => 63u32.checked_sub(mask.leading_zeros())?,
        };
        let bucket = u8::try_from(bucket).ok().filter(|bucket| *bucket < 64)?;
        Some((row, bucket))
    });
    match order {
        SearchOrder::Tightest => cells.min_by_key(|(row, bucket)| row + bucket),
        SearchOrder::Emptiest => cells.max_by_key(|(row, bucket)| row + bucket),
    }
}

fn compare_entries(
    entries: &[IndexEntry],
    query: &FreeQuery<'_>,
    budget: &mut usize,
    best: &mut Option<(FitScore, WorkerKey)>,
) {
    let mut compared = 0;
    for entry in entries {
        if !query.demand.fits_within(&entry.free) {
            continue;
        }
        let Some(score) = (query.score)(entry.worker, &entry.free) else {
            continue;
        };
        if best.is_none_or(|(lowest, _)| score < lowest) {
            *best = Some((score, entry.worker));
        }
        compared += 1;
        *budget = budget.saturating_sub(1);
        let settled =
            compared >= MAX_COMPARED_PER_CELL && best.is_some_and(|(s, _)| s.penalty == 0);
        if settled || *budget == 0 {
            return;
        }
    }
}
