//! Tells late and slow answers by the old version's last ones on the same route.
//!
//! An answer is judged when it is due, whether it came before or not. Judged when they come, slow
//! answers would be most of those that come after the version's share has fallen.

use super::counts::{Check, RouteHash};
use std::collections::VecDeque;
use std::time::Duration;

/// An answer that takes this many times as long as the old version's median is slow.
const SLOW_FACTOR: f64 = 2.5;
/// Answers of the old version of which the median is taken.
const ANSWERS_KEPT: usize = 48;
/// Answers that are needed for a median.
const ANSWERS_MIN: usize = 8;
/// Routes whose times are kept.
const ROUTES_MAX: usize = 64;
/// Checks that are not due yet, of one node. A call beyond them is not checked.
const PENDING_MAX: usize = 8192;
/// Prompt tokens that take about as long as what is the same for each prompt.
const PROMPT_TOKENS_PER_UNIT: f64 = 4000.0;

/// The old version's last answer times by route, in seconds per unit of work.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    /// Sorted by route.
    routes: Vec<(RouteHash, VecDeque<f64>)>,
}

/// Answers that are not due yet.
#[derive(Debug, Clone, Default)]
pub struct PendingChecks {
    /// Sorted by id.
    entries: Vec<PendingCheck>,
    last_id: u64,
}

/// An answer that is expected by a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingCheck {
    id: u64,
    /// Route of the call.
    pub route: RouteHash,
    /// Whether it went to the new version.
    pub is_new: bool,
    /// What is checked.
    pub check: Check,
    /// When the answer is due, a boot time.
    pub due_at: Duration,
    /// Whether it came.
    pub is_met: bool,
}

impl AnswerTimes {
    /// Returns the units of work before the first event of an answer: 1 for what is the same for each
    /// call, and the rest for its prompt.
    pub fn prompt_units(prompt_tokens: u64) -> f64 {
        1.0 + prompt_tokens as f64 / PROMPT_TOKENS_PER_UNIT
    }

    /// Returns the longest time that is not slow, in seconds per unit of work; `None` while too few
    /// answers are known.
    pub fn limit_s(&self, route: RouteHash) -> Option<f64> {
        let index = self.routes.binary_search_by_key(&route, |(known, _)| *known).ok()?;
        Some(median(&self.routes[index].1)? * SLOW_FACTOR)
    }

    /// Adds the time of an answer of the old version, in seconds per unit of work.
    pub fn keep(&mut self, route: RouteHash, time_s: f64) {
        let index = match self.routes.binary_search_by_key(&route, |(known, _)| *known) {
            Ok(index) => index,
            Err(_) if self.routes.len() >= ROUTES_MAX => return,
            Err(index) => {
                self.routes.insert(index, (route, VecDeque::with_capacity(ANSWERS_KEPT)));
                index
            }
        };
        let times = &mut self.routes[index].1;
        if times.len() == ANSWERS_KEPT {
            times.pop_front();
        }
        times.push_back(time_s);
    }
}

impl PendingChecks {
    /// Expects an answer by a time. Returns the id of the check, `None` if there are too many.
    pub fn begin(
        &mut self,
        route: RouteHash,
        is_new: bool,
        check: Check,
        due_at: Duration,
    ) -> Option<u64> {
        if self.entries.len() >= PENDING_MAX {
            return None;
        }
        self.last_id += 1;
        let id = self.last_id;
        self.entries.push(PendingCheck { id, route, is_new, check, due_at, is_met: false });
        Some(id)
    }

    /// Notes that an answer came. Returns whether it came in time.
    pub fn meet(&mut self, id: u64, now: Duration) -> bool {
        let Ok(index) = self.entries.binary_search_by_key(&id, |entry| entry.id) else {
            return false;
        };
        let entry = &mut self.entries[index];
        entry.is_met = now <= entry.due_at;
        entry.is_met
    }

    /// Removes a check that is not due yet, as the call ended in another way.
    pub fn cancel(&mut self, id: u64, now: Duration) {
        if let Ok(index) = self.entries.binary_search_by_key(&id, |entry| entry.id)
            && now <= self.entries[index].due_at
        {
            self.entries.remove(index);
        }
    }

    /// Removes and returns the checks that are due.
    pub fn take_due(&mut self, now: Duration) -> Vec<PendingCheck> {
        self.entries.extract_if(.., |entry| entry.due_at < now).collect()
    }
}

fn median(times: &VecDeque<f64>) -> Option<f64> {
    if times.len() < ANSWERS_MIN {
        return None;
    }
    let mut sorted: Vec<f64> = times.iter().copied().collect();
    let (_, median, _) = sorted.select_nth_unstable_by(times.len() / 2, f64::total_cmp);
    Some(*median)
}
