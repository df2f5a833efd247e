//! Member table: the known state of each node, and which of two updates about a node supersedes the
//! other.

use fl_protocol::{ConfigurationVersion, Member, MemberState, VmName, hash64};
use std::time::Duration;

/// Time for which a dead member is kept, so that a stale update does not bring it back.
pub const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// Known state of one node.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// Member as the nodes gossip about it; never [`MemberState::CutOff`], which each node decides
    /// for itself.
    pub member: Member,
    /// Start of the suspicion that the member may refute; `None` if it is not suspected.
    pub suspected_at: Option<Duration>,
    /// Time of the last change of the state.
    pub changed_at: Duration,
    /// Version of the configuration in force at the member, as it reported it.
    pub configuration_version: ConfigurationVersion,
}

/// A change of one member's state, recorded on the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// VM of the member.
    pub vm: VmName,
    /// State before the change; `None` for a member that was not known.
    pub before: Option<MemberState>,
    /// State after the change.
    pub after: MemberState,
}

/// Known nodes, sorted by VM name.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    entries: Vec<MemberEntry>,
    digest: u32,
}

impl MemberTable {
    /// Returns all entries, sorted by VM name.
    pub fn entries(&self) -> &[MemberEntry] {
        &self.entries
    }

    /// Returns the entry of a member.
    pub fn find(&self, vm: &str) -> Option<&MemberEntry> {
        let index = self.position(vm).ok()?;
        self.entries.get(index)
    }

    /// Returns the entry of a member for modification.
    pub fn find_mut(&mut self, vm: &str) -> Option<&mut MemberEntry> {
        let index = self.position(vm).ok()?;
        self.entries.get_mut(index)
    }

    /// Applies an update and returns the change if it supersedes the known state.
    ///
    /// The greater incarnation supersedes, and within one incarnation the greater [`MemberState`].
    /// An update that reports an unknown member dead is dropped, because it would circulate
    /// forever.
    pub fn merge(&mut self, now: Duration, update: &Member) -> Option<MemberChange> {
        let mut member = update.clone();
        if member.state == MemberState::CutOff {
            member.state = MemberState::Alive;
        }
        match self.position(&member.vm) {
            Ok(index) => self.replace(index, now, member),
            Err(_) if member.state == MemberState::Dead => None,
            Err(index) => {
                let change =
                    MemberChange { vm: member.vm.clone(), before: None, after: member.state };
                self.digest ^= member_digest(&member);
                self.entries.insert(index, new_entry(now, member));
                Some(change)
            }
        }
    }

    /// Removes members that have been dead for [`DEAD_RETENTION`].
    pub fn remove_expired(&mut self, now: Duration) {
        self.entries.retain(|entry| {
            let dead = entry.member.state == MemberState::Dead;
            !dead || now.saturating_sub(entry.changed_at) < DEAD_RETENTION
        });
    }

    /// Returns the digest of all members that are not dead.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    fn replace(&mut self, index: usize, now: Duration, member: Member) -> Option<MemberChange> {
        let entry = self.entries.get_mut(index)?;
        if !supersedes(&member, &entry.member) {
            return None;
        }
        let before = Some(entry.member.state);
        let change = MemberChange { vm: member.vm.clone(), before, after: member.state };
        let suspected = member.state == MemberState::Suspect;
        entry.suspected_at = suspected.then_some(now);
        entry.changed_at = now;
        self.digest ^= member_digest(&entry.member) ^ member_digest(&member);
        entry.member = member;
        Some(change)
    }

    fn position(&self, vm: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.member.vm.as_str().cmp(vm))
    }
}

/// Returns whether an update supersedes the known state of the same VM.
pub fn supersedes(update: &Member, known: &Member) -> bool {
    let new = (update.incarnation, update.state);
    let old = (known.incarnation, known.state);
    new > old
}

/// Returns the part of a member in the digest of a table.
///
/// A suspicion does not change it, because it is temporary.
pub fn member_digest(member: &Member) -> u32 {
    if member.state == MemberState::Dead {
        return 0;
    }
    let leaving = [u8::from(member.state == MemberState::Leaving)];
    let incarnation = member.incarnation.to_be_bytes();
    hash64(&[member.vm.as_bytes(), &incarnation, &leaving]) as u32
}

fn new_entry(now: Duration, member: Member) -> MemberEntry {
    let suspected = member.state == MemberState::Suspect;
    MemberEntry {
        member,
        suspected_at: suspected.then_some(now),
        changed_at: now,
        configuration_version: 0,
    }
}
