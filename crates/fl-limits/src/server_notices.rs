//! What a backend server asks of the nodes in its responses, and whether it may be sent a call now.
//!
//! A server says that it leaves, or how many calls a second it takes from all nodes. This module
//! alone decides for both; see
//! `docs/design/100-on-the-platform.md`.

use crate::named_limit::NamedLimit;
use fl_protocol::forward::ResponseNotices;
use std::time::Duration;

/// Why a server must not be sent a call now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDenial {
    /// The server said that it leaves.
    Leaving,
    /// The limit that the server named leaves no room for a call of this node.
    Limited,
}

/// What changed for a server with a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoticeChanges {
    /// The limit in force changed.
    pub limit: bool,
    /// The server said for the first time that it leaves.
    pub leaving: bool,
}

/// What one server has asked of this node and, for its limit and its leaving, of any node.
#[derive(Debug, Clone, Default)]
pub struct ServerNotices {
    /// The rate limit that the server names.
    pub limit: NamedLimit,
    is_leaving: bool,
}

impl ServerNotices {
    /// Returns whether a call may be sent now, or why not. `sharing` is the number of nodes that
    /// share the server's limit, `None` if this node is not one of them.
    pub fn check(&self, sharing: Option<usize>, now: Duration) -> Result<(), SendDenial> {
        if self.is_leaving {
            return Err(SendDenial::Leaving);
        }
        match self.limit.may_send(sharing, now) {
            true => Ok(()),
            false => Err(SendDenial::Limited),
        }
    }

    /// Counts a call that is sent now.
    pub fn count_call(&mut self, sharing: Option<usize>, now: Duration) {
        if let Some(sharing) = sharing {
            self.limit.count_call(sharing, now);
        }
    }

    /// Applies a response that this node received.
    pub fn hear(&mut self, notices: &ResponseNotices, now: Duration) -> NoticeChanges {
        let leaving = notices.is_leaving && !self.is_leaving;
        self.is_leaving |= notices.is_leaving;
        let limit = self.limit.hear(notices.limit_per_s, now);
        NoticeChanges { limit, leaving }
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
