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
pub struct Contact {
    /// The data centre.
    pub data_center: DataCenterName,
    /// When anybody in this node's data centre heard from it.
    pub heard_at: Duration,
    /// Own probes that failed since.
    pub failed_probes: u32,
    /// Whether it is cut off.
    pub cut_off: bool,
}

/// The ways to all other data centres, sorted by name.
#[derive(Debug, Clone)]
pub struct Contacts {
    contacts: Vec<Contact>,
    suspicion: Duration,
}

impl Contacts {
    /// Knows no data centre yet; `suspicion` is the silence that a cut needs.
    pub fn new(suspicion: Duration) -> Self {
        Contacts { contacts: Vec::new(), suspicion }
    }

    /// All contacts, sorted by data centre.
    pub fn all(&self) -> &[Contact] {
        &self.contacts
    }

    /// Begins to watch a data centre, as if it had just been heard from.
    pub fn watch(&mut self, data_center: &str, now: Duration) {
        if let Err(index) = self.position(data_center) {
            let contact = Contact {
                data_center: data_center.to_string(),
                heard_at: now,
                failed_probes: 0,
                cut_off: false,
            };
            self.contacts.insert(index, contact);
        }
    }

    /// Takes word that a data centre was heard from; true when that ends a cut.
    ///
    /// Only a contact younger than half of the suspicion timeout ends a cut: an old one that comes
    /// around again through other nodes looks younger than it is by the time that took.
    pub fn heard(&mut self, data_center: &str, at: Duration, now: Duration) -> bool {
        let fresh = now.saturating_sub(at) < self.suspicion / 2;
        let Ok(index) = self.position(data_center) else { return false };
        let contact = &mut self.contacts[index];
        contact.heard_at = contact.heard_at.max(at);
        if !fresh {
            return false;
        }
        contact.failed_probes = 0;
        std::mem::take(&mut contact.cut_off)
    }

    /// Counts a probe of this node's own that was not answered.
    pub fn probe_failed(&mut self, data_center: &str) {
        if let Ok(index) = self.position(data_center) {
            self.contacts[index].failed_probes += 1;
        }
    }

    /// Judges silence; returns the data centres that are cut off from now on.
    pub fn judge(&mut self, now: Duration) -> Vec<DataCenterName> {
        let mut newly_cut = Vec::new();
        for contact in &mut self.contacts {
            let silence = now.saturating_sub(contact.heard_at);
            let silent = silence >= self.suspicion && contact.failed_probes >= FAILED_PROBES;
            if silent && !contact.cut_off {
                contact.cut_off = true;
                newly_cut.push(contact.data_center.clone());
            }
        }
        newly_cut
    }

    /// Forgets the silence of a span in which this node itself did not run.
    pub fn excuse(&mut self, now: Duration) {
        for contact in &mut self.contacts {
            if !contact.cut_off {
                contact.heard_at = now;
                contact.failed_probes = 0;
            }
        }
    }

    /// Says whether a data centre is cut off.
    pub fn is_cut_off(&self, data_center: &str) -> bool {
        self.position(data_center).is_ok_and(|index| self.contacts[index].cut_off)
    }

    /// The ages, for peers in the same data centre.
    pub fn ages(&self, now: Duration) -> Vec<ContactAge> {
        let age = |contact: &Contact| ContactAge {
            data_center: contact.data_center.clone(),
            age_ms: now.saturating_sub(contact.heard_at).as_millis().min(u32::MAX as u128) as u32,
        };
        self.contacts.iter().map(age).collect()
    }

    fn position(&self, data_center: &str) -> Result<usize, usize> {
        self.contacts.binary_search_by(|contact| contact.data_center.as_str().cmp(data_center))
    }
}
