//! When each other data centre was last heard from, and whether it is cut off.
//!
//! A data centre that goes silent as a whole is called cut off, not dead: its nodes may well be
//! serving on the far side of the cut. The verdict needs both the silence towards this node's
//! whole data centre, which the nodes tell each other, and probes of this node's own that failed.

use crate::codec::ContactAge;
use fl_protocol::DataCenterName;
use std::time::Duration;

/// Own probes in a row that must fail before a data centre is called cut off.
const FAILED_PROBES: u32 = 3;

/// What is known of the way to one data centre.
#[derive(Debug, Clone)]
pub struct DataCenterContact {
    /// The data centre.
    pub data_center: DataCenterName,
    /// When anybody in this node's data centre heard from it.
    pub last_contact_at: Duration,
    /// Own probes that failed since.
    pub failed_probes: u32,
    /// Whether it is cut off.
    pub unreachable: bool,
}

/// The ways to all other data centres, sorted by name.
#[derive(Debug, Clone)]
pub struct DataCenterReachability {
    contacts: Vec<DataCenterContact>,
    suspicion: Duration,
}

impl DataCenterReachability {
    /// Knows no data centre yet; `suspicion` is the silence that a cut needs.
    pub fn new(suspicion: Duration) -> Self {
        DataCenterReachability { contacts: Vec::new(), suspicion }
    }

    /// All contacts, sorted by data centre.
    pub fn all(&self) -> &[DataCenterContact] {
        &self.contacts
    }

    /// Begins to watch a data centre, as if it had just been heard from.
    pub fn watch(&mut self, data_center: &str, now: Duration) {
        if let Err(index) = self.position(data_center) {
            let contact = DataCenterContact {
                data_center: data_center.to_string(),
                last_contact_at: now,
                failed_probes: 0,
                unreachable: false,
            };
            self.contacts.insert(index, contact);
        }
    }

    /// Takes word that a data centre was heard from; true when that ends a cut.
    ///
    /// Only a contact younger than half of the suspicion timeout ends a cut: an old one that comes
    /// around again through other nodes looks younger than it is by the time that took.
    pub fn record_contact(&mut self, data_center: &str, at: Duration, now: Duration) -> bool {
        let fresh = now.saturating_sub(at) < self.suspicion / 2;
        let Ok(index) = self.position(data_center) else { return false };
        let contact = &mut self.contacts[index];
        contact.last_contact_at = contact.last_contact_at.max(at);
        if !fresh {
            return false;
        }
        contact.failed_probes = 0;
        std::mem::take(&mut contact.unreachable)
    }

    /// Counts a probe of this node's own that was not answered.
    pub fn record_failed_probe(&mut self, data_center: &str) {
        if let Ok(index) = self.position(data_center) {
            self.contacts[index].failed_probes += 1;
        }
    }

    /// Judges silence; returns the data centres that are cut off from now on.
    pub fn detect_unreachable(&mut self, now: Duration) -> Vec<DataCenterName> {
        let mut newly_cut = Vec::new();
        for contact in &mut self.contacts {
            let silence = now.saturating_sub(contact.last_contact_at);
            let silent = silence >= self.suspicion && contact.failed_probes >= FAILED_PROBES;
            if silent && !contact.unreachable {
                contact.unreachable = true;
                newly_cut.push(contact.data_center.clone());
            }
        }
        newly_cut
    }

    /// Forgets the silence of a span in which this node itself did not run.
    pub fn reset_silence(&mut self, now: Duration) {
        for contact in &mut self.contacts {
            if !contact.unreachable {
                contact.last_contact_at = now;
                contact.failed_probes = 0;
            }
        }
    }

    /// Says whether a data centre is cut off.
    pub fn is_unreachable(&self, data_center: &str) -> bool {
        self.position(data_center).is_ok_and(|index| self.contacts[index].unreachable)
    }

    /// The ages, for peers in the same data centre.
    pub fn ages(&self, now: Duration) -> Vec<ContactAge> {
        let age = |contact: &DataCenterContact| ContactAge {
            data_center: contact.data_center.clone(),
            age_ms: now.saturating_sub(contact.last_contact_at).as_millis().min(u32::MAX as u128)
                as u32,
        };
        self.contacts.iter().map(age).collect()
    }

    fn position(&self, data_center: &str) -> Result<usize, usize> {
        self.contacts.binary_search_by(|contact| contact.data_center.as_str().cmp(data_center))
    }
}
