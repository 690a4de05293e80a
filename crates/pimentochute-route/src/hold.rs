//! Holds: slots and permits that stay reserved after an attempt with an unknown
//! outcome, until the endpoint must have stopped running the request.

use pimentochute_base::{MilliSpan, MilliTime, TeamName};

use crate::RouterSettings;
use crate::endpoint::IdleConnection;
use crate::state::{GrantedSlot, RouterState};

/// What is released when a hold expires.
#[derive(Debug)]
pub(crate) enum TimedHold {
    /// A slot of an endpoint.
    Slot(GrantedSlot),
    /// A permit of a team.
    Permit(TeamName),
}

impl RouterState {
    /// Holds a slot until an attempt with an unknown outcome has ended.
    ///
    /// The endpoint may still be running the request although no one reads the
    /// answer. It stops at the deadline that was sent with the request. If the
    /// slot were used before that, the endpoint could run more requests than it
    /// has slots.
    pub(crate) fn hold_slot(&mut self, slot: GrantedSlot, until: MilliTime) {
        if let Some(endpoint) = self.endpoints.get_mut(slot.endpoint) {
            endpoint.held += 1;
        }
        let sequence = self.next_sequence();
        let hold = TimedHold::Slot(slot);
        self.holds.insert((until, sequence), hold);
    }

    /// Holds a permit until an attempt with an unknown outcome has ended: while
    /// it may run, the request counts against the team's limit.
    pub(crate) fn hold_permit(&mut self, team: TeamName, until: MilliTime) {
        let sequence = self.next_sequence();
        let hold = TimedHold::Permit(team);
        self.holds.insert((until, sequence), hold);
    }

    /// Releases all expired holds; returns the connections to close.
    pub(crate) fn release_expired(&mut self, now: MilliTime) -> Vec<IdleConnection> {
        let mut closed = Vec::new();
        while let Some(entry) = self.holds.first_entry() {
            if entry.key().0 > now {
                break;
            }
            match entry.remove() {
                TimedHold::Slot(slot) => {
                    if let Some(endpoint) = self.endpoints.get_mut(slot.endpoint) {
                        endpoint.held = endpoint.held.saturating_sub(1);
                    }
                    closed.extend(self.release_slot(&slot, now));
                }
                TimedHold::Permit(team) => self.release_permit(&team),
            }
        }
        closed
    }
}

/// Returns the time after a deadline by which an endpoint has stopped running
/// the request: a fixed margin, plus 2 % of `span` for differences in clock
/// rates.
pub(crate) fn margin_after_deadline(settings: &RouterSettings, span: MilliSpan) -> MilliSpan {
    settings.hold_margin + MilliSpan::new(span.as_millis().div_ceil(50))
}
