//! Time of the last contact with each other data centre, and whether the data centre is reachable.
//!
//! A data centre that goes silent as a whole is unreachable (`MemberState::CutOff`), not dead: its
//! nodes may still be serving on the other side of a network partition. This takes both silence
//! towards this node's whole data centre, whose nodes exchange the ages of their contacts, and
//! failed probes of this node's own.

use crate::codec::ContactAge;
use fl_protocol::DataCenterName;
use std::time::Duration;

/// Consecutive failed probes of this node that make a silent data centre unreachable.
const MIN_FAILED_PROBES: u32 = 3;

/// Last contact with one data centre.
#[derive(Debug, Clone)]
pub struct DataCenterContact {
    /// Name of the data centre.
    pub data_center: DataCenterName,
    /// Time at which any node of this data centre last received from the other one.
    pub last_contact_at: Duration,
    /// Number of probes of this node that failed since.
    pub failed_probes: u32,
    /// Whether the data centre is considered unreachable.
    pub unreachable: bool,
}

/// Reachability of all other data centres, sorted by name.
#[derive(Debug, Clone)]
pub struct DataCenterReachability {
    contacts: Vec<DataCenterContact>,
    suspicion: Duration,
}

impl DataCenterReachability {
    /// Creates an empty list; a data centre must be silent for `suspicion` to become unreachable.
    pub fn new(suspicion: Duration) -> Self {
        DataCenterReachability { contacts: Vec::new(), suspicion }
    }

    /// Returns the last contacts, sorted by data centre.
    pub fn contacts(&self) -> &[DataCenterContact] {
        &self.contacts
    }

    /// Adds a data centre that is not known yet, with the last contact at `now`.
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

    /// Records a contact at time `at` and returns whether it makes the data centre reachable again.
    ///
    /// Only a contact younger than half of the suspicion timeout does so: an old contact that other
    /// nodes pass on looks younger than it is by the time it took to arrive.
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

    /// Counts a probe of this node that was not acknowledged.
    pub fn record_failed_probe(&mut self, data_center: &str) {
        if let Ok(index) = self.position(data_center) {
            self.contacts[index].failed_probes += 1;
        }
    }

    /// Marks silent data centres as unreachable and returns those that are newly so.
    pub fn detect_unreachable(&mut self, now: Duration) -> Vec<DataCenterName> {
        let mut newly_unreachable = Vec::new();
        for contact in &mut self.contacts {
            let silence = now.saturating_sub(contact.last_contact_at);
            let is_silent = silence >= self.suspicion && contact.failed_probes >= MIN_FAILED_PROBES;
            if is_silent && !contact.unreachable {
                contact.unreachable = true;
                newly_unreachable.push(contact.data_center.clone());
            }
        }
        newly_unreachable
    }

    /// Sets the last contact with each reachable data centre to `now`; for a node that was paused
    /// and could not receive.
    pub fn reset_silence(&mut self, now: Duration) {
        for contact in &mut self.contacts {
            if !contact.unreachable {
                contact.last_contact_at = now;
                contact.failed_probes = 0;
            }
        }
    }

    /// Returns whether a data centre is considered unreachable.
    pub fn is_unreachable(&self, data_center: &str) -> bool {
        self.position(data_center).is_ok_and(|index| self.contacts[index].unreachable)
    }

    /// Returns the ages of the contacts, to send to peers in the same data centre.
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
