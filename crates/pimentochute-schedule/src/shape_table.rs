//! The distinct demands of waiting jobs.
//!
//! Jobs of the same shape fit or fail alike, so that a full fleet is found to
//! be full by looking at shapes instead of jobs.

use std::collections::HashMap;

use pimentochute_base::ResourceAmount;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// A shape in the table.
    pub(crate) struct ShapeKey;
}

/// What jobs of one shape have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct JobShape {
    /// What each task is given.
    pub demand: ResourceAmount,
    /// Whether the tasks start all together.
    pub gang: bool,
}

/// The shapes of all jobs in the job table.
#[derive(Debug, Default)]
pub(crate) struct ShapeTable {
    /// With the number of jobs that have the shape; at least one.
    shapes: SlotMap<ShapeKey, (JobShape, u32)>,
    by_shape: HashMap<JobShape, ShapeKey>,
}

impl ShapeTable {
    /// Returns a shape.
    pub fn get(&self, key: ShapeKey) -> Option<&JobShape> {
        self.shapes.get(key).map(|(shape, _)| shape)
    }

    /// Counts a job of a shape.
    pub fn acquire(&mut self, shape: JobShape) -> ShapeKey {
        let shapes = &mut self.shapes;
        let key = *self
            .by_shape
            .entry(shape)
            .or_insert_with(|| shapes.insert((shape, 0)));
        if let Some((_, jobs)) = self.shapes.get_mut(key) {
            *jobs += 1;
        }
        key
    }

    /// Takes a job off its shape, which is forgotten with its last job.
    pub fn release(&mut self, key: ShapeKey) {
        if let Some((shape, jobs)) = self.shapes.get_mut(key) {
            *jobs -= 1;
            if *jobs == 0 {
                self.by_shape.remove(shape);
                self.shapes.remove(key);
            }
        }
    }
}
