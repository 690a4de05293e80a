//! Tests of the replicated state machine of a data centre.

#[path = "state_cell/actions.rs"]
mod actions;
#[path = "state_cell/bounds.rs"]
mod bounds;
#[path = "state_cell/gangs.rs"]
mod gangs;
#[path = "state_cell/invariants.rs"]
mod invariants;
#[path = "state_cell/jobs.rs"]
mod jobs;
#[path = "state_cell/placement.rs"]
mod placement;
#[path = "state_cell/properties.rs"]
mod properties;
#[path = "state_cell/snapshots.rs"]
mod snapshots;
#[path = "state_cell/support.rs"]
mod support;
#[path = "state_cell/workers.rs"]
mod workers;
