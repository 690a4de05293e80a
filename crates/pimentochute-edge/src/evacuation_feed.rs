//! The evacuated data centres that this host knows from the operator's topic, or from other
//! hosts while the log does not answer.

use std::collections::BTreeSet;
use std::sync::Arc;

use tokio::sync::watch;

use crate::KeyedRecord;
use crate::context::EdgeContext;
use crate::peer_wire::EvacuationListWire;

/// The evacuated data centres as of an offset in the operator's topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct EvacuationList {
    pub(crate) data_centres: BTreeSet<String>,
    /// The list follows from the records before this offset; `None` before the first read.
    pub(crate) as_of: Option<u64>,
    /// Since the start of this host, a data centre has been evacuated.
    has_had_any: bool,
}

/// The list that this host knows. Clones share their state.
#[derive(Clone)]
pub(crate) struct EvacuationFeed {
    context: EdgeContext,
    list: Arc<watch::Sender<EvacuationList>>,
}

impl EvacuationList {
    pub(crate) const fn new(data_centres: BTreeSet<String>, as_of: u64) -> Self {
        Self {
            data_centres,
            as_of: Some(as_of),
            has_had_any: false,
        }
    }
}

impl EvacuationFeed {
    pub(crate) fn new(context: EdgeContext) -> Self {
        Self {
            context,
            list: Arc::new(watch::Sender::new(EvacuationList::default())),
        }
    }

    /// Returns a receiver that is notified of each change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<EvacuationList> {
        self.list.subscribe()
    }

    /// Replaces the list by the newest records of all keys, as of the offset `end`.
    pub(crate) fn replace(&self, records: &[KeyedRecord], end: u64) {
        let mut data_centres = BTreeSet::new();
        self.apply_records(&mut data_centres, records);
        self.update(EvacuationList::new(data_centres, end));
    }

    /// Applies consecutive records that end at the offset `next`. If the list follows from
    /// later ones already, they change nothing.
    pub(crate) fn apply(&self, records: &[KeyedRecord], next: u64) {
        let mut data_centres = self.list.borrow().data_centres.clone();
        self.apply_records(&mut data_centres, records);
        self.update(EvacuationList::new(data_centres, next));
    }

    /// Takes over the list of another host if it is newer.
    pub(crate) fn adopt(&self, wire: EvacuationListWire) {
        self.update(EvacuationList::from(wire));
    }

    /// Returns the list for another host; `None` if this one has known no evacuation since its
    /// start.
    pub(crate) fn answer(&self) -> Option<EvacuationListWire> {
        let list = self.list.borrow();
        list.has_had_any.then(|| EvacuationListWire::from(&*list))
    }

    fn apply_records(&self, data_centres: &mut BTreeSet<String>, records: &[KeyedRecord]) {
        for record in records {
            match self.context.ports.codec.evacuation(&record.key) {
                Ok(None) => {}
                Ok(Some(name)) if record.value.is_empty() => {
                    data_centres.remove(name);
                }
                // The record's existence is the request, whatever it contains.
                Ok(Some(name)) => {
                    data_centres.insert(name.to_owned());
                }
                Err(error) => {
                    log::error!(
                        key = record.key.as_str(), error:%;
                        "config: a request to evacuate a data centre is ignored"
                    );
                }
            }
        }
    }

    /// Puts a list into force unless the present one is newer.
    fn update(&self, mut list: EvacuationList) {
        self.list.send_if_modified(|present| {
            if list.as_of < present.as_of {
                return false;
            }
            let is_new = present.data_centres != list.data_centres;
            if is_new {
                let names: Vec<_> = list.data_centres.iter().map(String::as_str).collect();
                log::warn!(data_centres = names.join(","); "config: the evacuated data centres changed");
            }
            let is_first = present.as_of.is_none();
            list.has_had_any = present.has_had_any || !list.data_centres.is_empty();
            *present = std::mem::take(&mut list);
            is_new || is_first
        });
        let count = self.list.borrow().data_centres.len();
        self.context.counters.record_evacuated(count);
    }
}
