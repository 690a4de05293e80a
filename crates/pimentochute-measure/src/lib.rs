//! Simulations of the owner of a cell and its workers, without a network.

pub mod backlog;
