//! The table of distinct shapes of waiting jobs.
//!
//! If one job of a shape does not fit, neither do the others, so that a full
//! fleet is detected by trying each shape instead of each job.

use std::collections::HashMap;

use pimentochute_base::ResourceAmount;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// A shape in the table.
    pub(crate) struct ShapeKey;
}

/// The properties by which jobs are grouped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct JobShape {
    /// The demand of each task.
    pub demand: ResourceAmount,
    /// Whether the job is a gang.
    pub gang: bool,
}

/// The shapes of all jobs in the job table, with reference counts.
#[derive(Debug, Default)]
pub(crate) struct ShapeTable {
    /// Each shape with the number of its jobs, which is at least one.
    shapes: SlotMap<ShapeKey, (JobShape, u32)>,
    by_shape: HashMap<JobShape, ShapeKey>,
}

impl ShapeTable {
    pub fn get(&self, key: ShapeKey) -> Option<&JobShape> {
        self.shapes.get(key).map(|(shape, _)| shape)
    }

    /// Counts a job of a shape, which is added if it is new.
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

    /// Removes a job from the count of its shape. Removes the shape with its last
    /// job.
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
