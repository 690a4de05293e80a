//! Counts the calls for advice about gangs, and their tickets.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::{AdviceRow, StepName};

use super::report::CallFigures;

/// The calls about gangs so far.
#[derive(Debug, Default)]
pub(super) struct CallLedger {
    figures: CallFigures,
    /// The tickets that the owner has not used, by step and worker: until when they are valid.
    tickets: BTreeMap<(StepName, String), MilliTime>,
}

impl CallLedger {
    /// Counts a call that takes the service the time `served`.
    pub(super) fn call_made(&mut self, served: MilliSpan) {
        self.figures.made += 1;
        self.figures.served = self.figures.served + served;
    }

    /// Counts a call that ends without an answer.
    pub(super) fn call_given_up(&mut self) {
        self.figures.given_up += 1;
    }

    pub(super) fn answer_received(&mut self, step: StepName, rows: &[AdviceRow], until: MilliTime) {
        self.figures.tickets += rows.len() as u64;
        let tickets = rows.iter().map(|row| ((step, row.worker.clone()), until));
        self.tickets.extend(tickets);
    }

    /// Counts the first start with a ticket; more tasks on the same worker use the same one.
    pub(super) fn ticket_used(&mut self, step: StepName, worker: &str) {
        let ticket = self.tickets.remove(&(step, worker.to_owned()));
        self.figures.used_tickets += u64::from(ticket.is_some());
    }

    /// Drops the tickets of the owner before.
    pub(super) fn owner_changed(&mut self) {
        self.tickets.clear();
    }

    /// Returns the figures at the time `now`.
    pub(super) fn into_figures(self, now: MilliTime) -> CallFigures {
        let valid = self.tickets.values().filter(|until| **until > now).count() as u64;
        let figures = self.figures;
        CallFigures {
            unused_tickets: figures.tickets - figures.used_tickets - valid,
            ..figures
        }
    }
}
