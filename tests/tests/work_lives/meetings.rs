//! How often a start with an unknown outcome met each other fault, so that a run without a
//! broken rule tells what it has tried.

use std::collections::BTreeMap;

use strum::Display;

use super::orders::{OrderKind, SentOrder};
use super::simulation::Simulation;
use crate::work_support::ADVISED;

/// What a start without an answer was for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum StartKind {
    Task,
    AdvisedTask,
    Member,
    AdvisedMember,
}

/// What has become of the worker since the start left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum WorkerFate {
    Up,
    Cut,
    Down,
    /// It lives again under its identifier.
    Reborn,
    /// Another one has its address.
    Succeeded,
}

/// What has become of the owner since the start left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum OwnerFate {
    Present,
    /// It is the present one and was suspended.
    Suspended,
    Replaced,
}

/// The number of starts without an answer by what met.
pub type MeetingCounts = BTreeMap<(StartKind, WorkerFate, OwnerFate), u64>;

impl Simulation {
    /// Counts a start that has no answer in time.
    pub fn count_meeting(&mut self, sent: &SentOrder) {
        let OrderKind::Start(command) = &sent.kind else {
            return;
        };
        let submission = &self.jobs[&command.task.job].submission;
        let is_advised = submission.queue == ADVISED;
        let is_gang = submission.spec.steps[usize::from(command.task.step)].is_gang;
        let kind = match (is_gang, is_advised) {
            (false, false) => StartKind::Task,
            (false, true) => StartKind::AdvisedTask,
            (true, false) => StartKind::Member,
            (true, true) => StartKind::AdvisedMember,
        };
        let machine = self.machine_at(&command.target);
        let machine = machine.map(|index| &self.machines[index]);
        let worker = match machine {
            Some(machine) if machine.lives == sent.life && machine.life.is_some() => {
                if machine.cut_until > sent.sent {
                    WorkerFate::Cut
                } else {
                    WorkerFate::Up
                }
            }
            Some(machine) if machine.life.is_none() => WorkerFate::Down,
            Some(machine) if machine.id == command.target.id => WorkerFate::Reborn,
            _ => WorkerFate::Succeeded,
        };
        let owners = self.owners.iter();
        let owner = owners.rev().find(|owner| owner.epoch == sent.epoch);
        let owner = if sent.epoch != self.epoch {
            OwnerFate::Replaced
        } else if owner.is_some_and(|owner| owner.frozen_until > sent.sent) {
            OwnerFate::Suspended
        } else {
            OwnerFate::Present
        };
        *self.meetings.entry((kind, worker, owner)).or_default() += 1;
    }
}
