//! The member table: what is known of each node, and which of two statements about it wins.

use fl_protocol::{ConfigurationVersion, Member, MemberState, VmName, hash64};
use std::time::Duration;

/// How long a dead member is remembered, so that stale news does not bring it back.
pub const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// What is known of one node.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Its statement, as members spread it; never [`MemberState::CutOff`], which is a local belief.
    pub member: Member,
    /// Since when it may refute a suspicion.
    pub suspected_at: Option<Duration>,
    /// When its state changed last.
    pub changed_at: Duration,
    /// The version of the configuration it said is in force there.
    pub configuration_version: ConfigurationVersion,
}

/// A change of one member's state, for the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// The member.
    pub vm: VmName,
    /// What was believed; `None` for a member that was not known.
    pub before: Option<MemberState>,
    /// What is believed now.
    pub after: MemberState,
}

/// The nodes known, sorted by VM name.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    entries: Vec<Entry>,
    digest: u32,
}

impl MemberTable {
    /// All entries, sorted by VM name.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Finds a member.
    pub fn find(&self, vm: &str) -> Option<&Entry> {
        let index = self.position(vm).ok()?;
        self.entries.get(index)
    }

    /// Finds a member to change what is known of it.
    pub fn find_mut(&mut self, vm: &str) -> Option<&mut Entry> {
        let index = self.position(vm).ok()?;
        self.entries.get_mut(index)
    }

    /// Takes a statement; returns the change when it wins over what was known.
    ///
    /// The greater incarnation wins, and the graver state within one incarnation. Word of the
    /// death of an unknown member is dropped, else it would circulate for ever.
    pub fn merge(&mut self, now: Duration, statement: &Member) -> Option<MemberChange> {
        let mut member = statement.clone();
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

    /// Drops members that have been dead for [`DEAD_RETENTION`].
    pub fn remove_expired(&mut self, now: Duration) {
        self.entries.retain(|entry| {
            let dead = entry.member.state == MemberState::Dead;
            !dead || now.saturating_sub(entry.changed_at) < DEAD_RETENTION
        });
    }

    /// Digest of all members that are not dead, kept up to date with each change.
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

/// Says whether a statement replaces another about the same VM.
pub fn supersedes(statement: &Member, known: &Member) -> bool {
    let new = (statement.incarnation, statement.state);
    let old = (known.incarnation, known.state);
    new > old
}

/// What one member adds to the digest of a table; a suspicion, which passes, does not change it.
pub fn member_digest(member: &Member) -> u32 {
    if member.state == MemberState::Dead {
        return 0;
    }
    let leaving = [u8::from(member.state == MemberState::Leaving)];
    let incarnation = member.incarnation.to_be_bytes();
    hash64(&[member.vm.as_bytes(), &incarnation, &leaving]) as u32
}

fn new_entry(now: Duration, member: Member) -> Entry {
    let suspected = member.state == MemberState::Suspect;
    Entry {
        member,
        suspected_at: suspected.then_some(now),
        changed_at: now,
        configuration_version: 0,
    }
}
