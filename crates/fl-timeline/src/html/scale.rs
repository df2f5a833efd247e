//! Maps times to places on the drawing, and chooses round ticks.

use fl_protocol::UnixMs;

const TICKS_WANTED: u64 = 10;

/// A linear scale from times to pixels.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scale {
    pub(super) start_ms: UnixMs,
    pub(super) span_ms: u64,
    pub(super) left_px: f64,
    pub(super) width_px: f64,
}

impl Scale {
    /// The place of a time.
    pub(super) fn x_px(&self, time_ms: UnixMs) -> f64 {
        let offset_ms = time_ms.saturating_sub(self.start_ms) as f64;
        self.left_px + offset_ms / self.span_ms.max(1) as f64 * self.width_px
    }

    /// Round offsets from the start, about ten of them.
    pub(super) fn tick_offsets_ms(&self) -> Vec<u64> {
        let step_ms = round_step_ms(self.span_ms / TICKS_WANTED);
        (0..=self.span_ms / step_ms).map(|index| index * step_ms).collect()
    }
}

/// The next of 1, 2, 5, 10, 20, 50, ... that is not below `least_ms`.
fn round_step_ms(least_ms: u64) -> u64 {
    let mut decade_ms = 1;
    loop {
        let steps_ms = [decade_ms, 2 * decade_ms, 5 * decade_ms];
        if let Some(step_ms) = steps_ms.into_iter().find(|step_ms| *step_ms >= least_ms) {
            return step_ms;
        }
        decade_ms *= 10;
    }
}

/// Prints an offset with the unit that suits it.
pub(super) fn offset_text(offset_ms: u64) -> String {
    if offset_ms < 1000 {
        return format!("{offset_ms} ms");
    }
    format!("{} s", offset_ms as f64 / 1000.0)
}
