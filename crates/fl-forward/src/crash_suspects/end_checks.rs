//! Checks whether servers have ended, shared by the calls that a server broke off.

use crate::clock::boot_time;
use fl_routing::crash_suspects::InstanceHash;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::OnceCell;

/// How long the result of a check holds for other calls of the same server.
const CHECK_SHARED: Duration = Duration::from_millis(500);

/// The outcome of a check, once it is known: whether the server has ended.
pub(super) type EndCheck = Arc<OnceCell<bool>>;

/// The checks of the last moments.
#[derive(Default)]
pub(super) struct EndChecks {
    /// Oldest first.
    checks: Vec<(InstanceHash, Duration, EndCheck)>,
}

impl EndChecks {
    /// Returns the check of an instance of a server, a new one if there is none.
    pub(super) fn for_instance(&mut self, instance: InstanceHash) -> EndCheck {
        let now = boot_time();
        self.checks.retain(|(_, begun_at, _)| now.saturating_sub(*begun_at) < CHECK_SHARED);
        let known = self.checks.iter().find(|(checked, ..)| *checked == instance);
        if let Some((.., check)) = known {
            return check.clone();
        }
        let check = EndCheck::default();
        self.checks.push((instance, now, check.clone()));
        check
    }
}
