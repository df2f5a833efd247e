//! Events of the duties.

use serde::Serialize;

/// The lease of the duties changed hands as far as this node knows.
#[derive(Debug, Serialize)]
pub struct LeaseChanged<'a> {
    /// What happened.
    pub change: &'a str,
    /// Who holds it.
    pub holder: &'a str,
    /// Its fencing number.
    pub fencing: u64,
}

/// The usage of one window was reported.
#[derive(Debug, Serialize)]
pub struct UsageReported<'a> {
    /// The window.
    pub window: u64,
    /// Calls counted.
    pub calls: u64,
    /// The fencing number.
    pub fencing: u64,
    /// What came of it.
    pub outcome: &'a str,
}

/// A duty could not be performed.
#[derive(Debug, Serialize)]
pub struct DutyFailed<'a> {
    /// The duty.
    pub duty: &'a str,
    /// How it failed.
    pub error: String,
}

/// Backend servers were ordered.
#[derive(Debug, Serialize)]
pub struct FleetOrdered<'a> {
    /// The service.
    pub service: &'a str,
    /// The data centre.
    pub data_centre: &'a str,
    /// Whether the cloud may take them back.
    pub reclaimable: bool,
    /// How many there shall be.
    pub wanted: u32,
    /// How many there are.
    pub present: u32,
    /// Servers that the highest demand of the last while asks for.
    pub needed_ample: f64,
    /// Servers that the highest demand of the last boot time asks for at least.
    pub needed_least: f64,
    /// The rate at which one server reads prompts, as all nodes observed it.
    pub read_tokens_per_ms: f64,
    /// The fencing number.
    pub fencing: u64,
    /// What came of it.
    pub outcome: &'a str,
}
