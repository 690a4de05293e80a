//! Slots and permits of attempts with an unknown outcome.

use pimentochute_base::{MilliSpan, MilliTime, TeamName};

use crate::RouterSettings;
use crate::endpoint::IdleConnection;
use crate::state::{GrantedSlot, RouterState};

/// What is given back when an attempt with an unknown outcome has lapsed.
#[derive(Debug)]
pub(crate) enum TimedHold {
    /// A slot of an endpoint.
    Slot(GrantedSlot),
    /// A permit of a team.
    Permit(TeamName),
}

impl RouterState {
    /// Keeps a slot until an attempt with an unknown outcome has lapsed.
    ///
    /// The endpoint may still be running the request although nobody reads
    /// the answer. It stops at the deadline it was sent; a slot used again
    /// before that would let the endpoint run more than its slots.
    pub(crate) fn hold_slot(&mut self, slot: GrantedSlot, until: MilliTime) {
        if let Some(endpoint) = self.endpoints.get_mut(slot.endpoint) {
            endpoint.held += 1;
        }
        let sequence = self.next_sequence();
        let hold = TimedHold::Slot(slot);
        self.holds.insert((until, sequence), hold);
    }

    /// Keeps a permit until an attempt with an unknown outcome has lapsed,
    /// because the request still counts against the team's limit.
    pub(crate) fn hold_permit(&mut self, team: TeamName, until: MilliTime) {
        let sequence = self.next_sequence();
        let hold = TimedHold::Permit(team);
        self.holds.insert((until, sequence), hold);
    }

    /// Gives back what is held past its time; returns connections to close.
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

/// Returns the margin after a deadline at which an endpoint has surely
/// stopped: a fixed part, and 2 % of `span` for clock rates that differ.
pub(crate) fn hold_margin(settings: &RouterSettings, span: MilliSpan) -> MilliSpan {
    settings.hold_margin + MilliSpan::new(span.as_millis().div_ceil(50))
}
