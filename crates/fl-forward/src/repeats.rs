//! Budgets of repeats by service.

use crate::clock::boot_time;
use fl_kernel::forward::ForwardBounds;
use fl_limits::RepeatWindow;
use parking_lot::Mutex;
use std::time::Duration;

/// Budgets of repeats, sorted by service.
pub struct Repeats {
    ratio: f64,
    slack: f64,
    window: Duration,
    windows: Mutex<Vec<(String, RepeatWindow)>>,
}

impl Repeats {
    /// Makes budgets within the bounds that were promised.
    pub fn new(bounds: &ForwardBounds) -> Self {
        Repeats {
            ratio: bounds.repeat_ratio,
            slack: bounds.repeat_slack,
            window: bounds.repeat_window,
            windows: Mutex::default(),
        }
    }

    /// Repeats that this node has left, by service.
    pub fn left(&self) -> Vec<(String, f64)> {
        let now = boot_time();
        let mut windows = self.windows.lock();
        windows.iter_mut().map(|(service, window)| (service.clone(), window.left(now))).collect()
    }

    /// Acts on the budget of a service, of which each of the nodes has its part.
    pub fn with<T>(
        &self,
        service: &str,
        nodes: usize,
        act: impl FnOnce(&mut RepeatWindow) -> T,
    ) -> T {
        let reserve = self.slack / nodes.max(1) as f64;
        let mut windows = self.windows.lock();
        let place = windows.binary_search_by(|(name, _)| name.as_str().cmp(service));
        let place = place.unwrap_or_else(|place| {
            let window = RepeatWindow::new(self.ratio, reserve, self.window);
            windows.insert(place, (service.to_string(), window));
            place
        });
        windows[place].1.set_reserve(reserve);
        act(&mut windows[place].1)
    }
}
