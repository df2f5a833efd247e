//! What a backend server asks of the nodes in its responses, and whether it may be sent a call now.
//!
//! A server says that it leaves, that it wants nothing for a time, how many calls a second it takes
//! from all nodes, or that it is brittle. This module alone decides for all four; see
//! `docs/design/100-on-the-platform.md`.

use crate::brittle_server::BrittleServer;
use crate::named_limit::NamedLimit;
use fl_protocol::forward::ResponseNotices;
use std::time::Duration;

/// Longest pause that is kept. A server that names a longer one would in effect be given up.
const PAUSE_MAX: Duration = Duration::from_secs(3600);
/// How long the single call after a pause may take until its response; then another one tries.
const TRIAL_TIME: Duration = Duration::from_millis(1000);

/// Why a server must not be sent a call now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDenial {
    /// The server said that it leaves.
    Leaving,
    /// The server wants nothing for this time.
    Paused(Duration),
    /// The limit that the server named leaves no room for a call of this node.
    Limited,
    /// The server is brittle and this node has no free slot of it.
    Full,
}

/// What changed for a server with a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoticeChanges {
    /// The limit in force changed.
    pub limit: bool,
    /// The server said for the first time that it leaves.
    pub leaving: bool,
    /// A pause began.
    pub paused: bool,
    /// Peers have to know that the server has become brittle or no longer is, or that it has turned
    /// a call away while it is.
    pub brittle: bool,
    /// The server's instance sent an invalid value for the first time.
    pub invalid_value: bool,
}

/// What one server has asked of this node and, for its limit and its leaving, of any node.
#[derive(Debug, Clone, Default)]
pub struct ServerNotices {
    /// The rate limit that the server names.
    pub limit: NamedLimit,
    /// Whether the server falls over when it has no room.
    pub brittle: BrittleServer,
    is_leaving: bool,
    pause: Pause,
    has_sent_invalid_value: bool,
}

/// A pause that a server asked for, and the single call that ends it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum Pause {
    #[default]
    None,
    /// Nothing may be sent before this time.
    Until(Duration),
    /// One call is under way; another one may try at this time.
    Trial(Duration),
}

impl ServerNotices {
    /// Returns whether a call may be sent now, or why not. `sharing` is the number of nodes that
    /// share the server's limit, `None` if this node is not one of them.
    pub fn check(&self, sharing: Option<usize>, now: Duration) -> Result<(), SendDenial> {
        if self.is_leaving {
            return Err(SendDenial::Leaving);
        }
        if let Pause::Until(end) | Pause::Trial(end) = self.pause
            && now < end
        {
            return Err(SendDenial::Paused(end - now));
        }
        match self.limit.may_send(sharing, now) {
            true => Ok(()),
            false => Err(SendDenial::Limited),
        }
    }

    /// Counts a call that is sent now.
    pub fn count_call(&mut self, sharing: Option<usize>, now: Duration) {
        if self.pause != Pause::None {
            self.pause = Pause::Trial(now + TRIAL_TIME);
        }
        if let Some(sharing) = sharing {
            self.limit.count_call(sharing, now);
        }
    }

    /// Applies a response that this node received.
    pub fn hear(&mut self, notices: &ResponseNotices, now: Duration) -> NoticeChanges {
        let leaving = notices.is_leaving && !self.is_leaving;
        self.is_leaving |= notices.is_leaving;
        let limit = self.limit.hear(notices.limit_per_s, now);
        let brittle = self.brittle.hear(notices.brittle_per_s, notices.was_turned_away, now);
        let paused = self.apply_pause(notices.pause, now);
        let invalid_value = notices.has_invalid_value && !self.has_sent_invalid_value;
        self.has_sent_invalid_value |= notices.has_invalid_value;
        NoticeChanges { limit, leaving, paused, brittle, invalid_value }
    }

    /// Begins, keeps or ends a pause, and returns whether one began.
    fn apply_pause(&mut self, asked: Option<Duration>, now: Duration) -> bool {
        let is_paused = matches!(self.pause, Pause::Until(end) if now < end);
        match asked {
            Some(time) => {
                let end = now + time.min(PAUSE_MAX);
                self.pause = match self.pause {
                    Pause::Until(known) => Pause::Until(known.max(end)),
                    _ => Pause::Until(end),
                };
                !is_paused
            }
            // A call that was under way when the pause began says nothing about it.
            None if is_paused => false,
            None => {
                self.pause = Pause::None;
                false
            }
        }
    }

    /// Notes that a peer heard the server say that it leaves. Returns whether that is news.
    pub fn learn_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Returns whether the server said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
