//! Remembers which software versions each service had, to know what began a stream without having
//! been told.
//!
//! A stream was begun by the only version that its service had for as long as streams last, provided
//! that any other version would have been seen. The history outlives all nodes in one row of the
//! store. See `docs/design/120-stream-origins.md`.

use crate::route_history::{RouteHistory, RouteTimes, RoutedService};
use crate::stream_origins::{StreamOrigin, is_remembered};
use fl_protocol::forward::{Route, ServerEntry};
use fl_protocol::{ServiceName, UnixMs};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Longest time between two lists in which no version is missed: servers take longer to start, to
/// begin streams and to leave again.
const LIST_GAP_MAX: Duration = Duration::from_secs(3);
/// Age from which a stored history no longer says what happened until now.
const STORED_AGE_MAX: Duration = Duration::from_secs(20);
/// Interval at which a stored history without news is confirmed: half of that age, so that a failed
/// write does no harm.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(10);
/// By how much the wall clocks of two VMs may differ.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(2);
/// Form of the stored history that this build writes and reads.
const FORMAT: u32 = 1;

/// The same moment by two clocks: the node's own, and the wall clock that rows of the store use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Time of the node's own clock, which has to reach back further than streams last.
    pub now: Duration,
    /// Unix time in milliseconds.
    pub unix_ms: UnixMs,
}

impl Moment {
    /// Returns the Unix time of an earlier moment.
    pub fn to_unix_ms(self, earlier: Duration) -> UnixMs {
        self.unix_ms.saturating_sub(self.now.saturating_sub(earlier).as_millis() as UnixMs)
    }

    /// Returns the node's time of a Unix time. Times in the future count as now.
    pub fn from_unix_ms(self, unix_ms: UnixMs) -> Duration {
        let age_ms = self.unix_ms.saturating_sub(unix_ms);
        self.now.saturating_sub(Duration::from_millis(age_ms))
    }

    /// Returns the node's time of a Unix time, if what happened then is remembered.
    pub fn if_remembered(self, unix_ms: UnixMs) -> Option<Duration> {
        let time = self.from_unix_ms(unix_ms);
        is_remembered(time, self.now).then_some(time)
    }
}

/// The software versions of each service that were seen in the registry lately.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    /// Sorted by service and version.
    seen: Vec<SeenVersion>,
    /// Since when no version can have been missed; `None` before the first list.
    watched_since: Option<Duration>,
    /// When the newest list was noted.
    listed_at: Option<Duration>,
    /// Whether no stream began before this node started.
    began_without_streams: bool,
    /// Whether lists did not follow each other closely at some time.
    has_missed_lists: bool,
    routes: RouteHistory,
    /// The routes of resumable streams in force.
    resumable: Vec<Arc<Route>>,
    /// Whether streams of some of these routes had several possible origins when something was noted
    /// last. The number of origins falls with time alone.
    has_ambiguous_routes: bool,
    /// What the row in the store was last known to hold.
    stored: Option<StoredVersions>,
    /// Whether something changed that the row may not hold.
    has_unstored_changes: bool,
}

/// A version of a service, with the last time at which a list showed it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SeenVersion {
    service: ServiceName,
    version: String,
    origin: StreamOrigin,
    seen_at: Duration,
}

/// The history as a row of the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredVersions {
    format: u32,
    /// Incarnation of the store that the row was written to. An older copy of the store has an older
    /// history.
    incarnation: u64,
    written_ms: UnixMs,
    watched_since_ms: UnixMs,
    routes: u64,
    routes_since_ms: UnixMs,
    /// Service, version and the last time at which it was seen.
    versions: Vec<(ServiceName, String, UnixMs)>,
    /// Since when every change of the routes is known. Rows of former builds hold none; there the
    /// routes are known since they are in force.
    #[serde(default)]
    routes_known_since_ms: Option<UnixMs>,
    /// Host, prefix and service of former routes, and until when they were in force.
    #[serde(default)]
    former_routes: Vec<(String, String, ServiceName, UnixMs)>,
}

impl VersionHistory {
    /// Notes the versions of a list of servers. Returns whether it shows one that was not known.
    pub fn note_list(&mut self, servers: &[ServerEntry], now: Duration) -> bool {
        if !self.is_listed(now) {
            self.has_missed_lists = self.listed_at.is_some();
            let is_complete = self.began_without_streams && !self.has_missed_lists;
            self.watched_since = Some(if is_complete { Duration::ZERO } else { now });
        }
        self.listed_at = Some(now);
        self.seen.retain(|seen| is_remembered(seen.seen_at, now));
        let mut is_new = false;
        for server in servers {
            is_new |= self.note_version(&server.service, &server.software_version, now);
        }
        self.has_unstored_changes |= is_new;
        self.update_ambiguous(now);
        is_new
    }

    fn note_version(&mut self, service: &str, version: &str, seen_at: Duration) -> bool {
        let key = (service, version);
        let found = self
            .seen
            .binary_search_by(|seen| (seen.service.as_str(), seen.version.as_str()).cmp(&key));
        match found {
            Ok(index) => {
                let seen = &mut self.seen[index];
                seen.seen_at = seen.seen_at.max(seen_at);
            }
            Err(index) => {
                let (service, version) = (service.to_string(), version.to_string());
                let origin = StreamOrigin::new(&service, &version);
                self.seen.insert(index, SeenVersion { service, version, origin, seen_at });
            }
        }
        found.is_err()
    }

    /// Notes the routes in force.
    pub fn note_routes(&mut self, routes: &[Arc<Route>], now: Duration) {
        if self.routes.note(routes, now) {
            self.has_unstored_changes = true;
            let resumable = routes.iter().filter(|route| route.is_resumable_stream());
            self.resumable = resumable.cloned().collect();
        }
        self.update_ambiguous(now);
    }

    /// Notes that the whole system starts for the first time, so that no stream began before.
    pub fn begin_without_streams(&mut self, now: Duration) {
        self.began_without_streams = true;
        if !self.has_missed_lists {
            self.watched_since = self.watched_since.map(|_| Duration::ZERO);
            self.routes.begin_without_streams();
        }
        self.update_ambiguous(now);
    }

    fn update_ambiguous(&mut self, now: Duration) {
        let is_ambiguous = |route: &Arc<Route>| self.route_origin(route, now).is_none();
        self.has_ambiguous_routes = self.resumable.iter().any(is_ambiguous);
    }

    /// Returns whether lists have followed each other closely until now.
    fn is_listed(&self, now: Duration) -> bool {
        self.listed_at.is_some_and(|at| now.saturating_sub(at) <= LIST_GAP_MAX)
    }

    /// Returns the origin of all streams of a service, if it had one software version alone for as
    /// long as streams last and no other one can have been missed.
    pub fn only_origin(&self, service: &str, now: Duration) -> Option<StreamOrigin> {
        let is_watched = self.watched_since.is_some_and(|since| !is_remembered(since, now));
        let mut versions = self
            .seen
            .iter()
            .filter(|seen| seen.service == service && is_remembered(seen.seen_at, now));
        let only = versions.next().filter(|_| is_watched && self.is_listed(now))?;
        versions.next().is_none().then_some(only.origin)
    }

    /// Returns the origin of all streams of a route, if no other one is possible. What begins the
    /// streams of other routes has to be stored.
    pub fn route_origin(&self, route: &Route, now: Duration) -> Option<StreamOrigin> {
        match self.routes.possible_services(route, now)?[..] {
            [service] => self.only_origin(service, now),
            _ => None,
        }
    }

    /// Returns whether a route of resumable streams was in force.
    pub fn has_routes(&self) -> bool {
        self.routes.digest().is_some()
    }

    /// Returns whether the streams of any route have several possible origins.
    pub fn has_ambiguous_routes(&self, now: Duration) -> bool {
        self.has_ambiguous_routes || (self.has_routes() && !self.is_listed(now))
    }

    /// Returns the history that the store should hold, `None` if the row that is known to be there
    /// says enough. `confirms` says whether this node rewrites a row without news at times.
    pub fn to_store(
        &self,
        moment: Moment,
        incarnation: u64,
        confirms: bool,
    ) -> Option<StoredVersions> {
        let (routes, routes_since) = self.routes.digest()?;
        if !self.is_listed(moment.now) {
            return None;
        }
        let version = |seen: &SeenVersion| {
            (seen.service.clone(), seen.version.clone(), moment.to_unix_ms(seen.seen_at))
        };
        let former_route = |(routed, until): &(RoutedService, Duration)| {
            let RoutedService { host, prefix, service } = routed.clone();
            (host, prefix, service, moment.to_unix_ms(*until))
        };
        let current = StoredVersions {
            format: FORMAT,
            incarnation,
            written_ms: moment.unix_ms,
            watched_since_ms: moment.to_unix_ms(self.watched_since?),
            routes,
            routes_since_ms: moment.to_unix_ms(routes_since),
            versions: self.seen.iter().map(version).collect(),
            routes_known_since_ms: self.routes.known_since().map(|at| moment.to_unix_ms(at)),
            former_routes: self.routes.former().iter().map(former_route).collect(),
        };
        let needs_confirmation = self.stored.as_ref().is_none_or(|stored| {
            let is_due = stored.incarnation != incarnation || stored.is_due(moment.unix_ms);
            confirms && is_due
        });
        (self.has_unstored_changes || needs_confirmation).then_some(current)
    }

    /// Notes that the store holds a history that this node wrote.
    pub fn note_stored(&mut self, stored: StoredVersions) {
        self.has_unstored_changes = !stored.covers(self);
        self.stored = Some(stored);
    }

    /// Takes over a history that was read from the store, which has an incarnation now.
    ///
    /// A node that has just started takes over since when nothing was missed: until all nodes ended
    /// they wrote each new version, and without nodes no stream begins. A node that missed lists
    /// itself does not, as other nodes may have missed them too.
    pub fn apply_stored(&mut self, stored: StoredVersions, moment: Moment, incarnation: u64) {
        let age_ms = moment.unix_ms.saturating_sub(stored.written_ms);
        let is_valid = stored.format == FORMAT && stored.incarnation == incarnation;
        if is_valid && age_ms < STORED_AGE_MAX.as_millis() as UnixMs {
            let is_first = self.stored.is_none() && !self.has_missed_lists;
            self.take_over(&stored, moment, is_first);
        }
        self.has_unstored_changes = !is_valid || !stored.covers(self);
        self.stored = Some(stored);
        self.update_ambiguous(moment.now);
    }

    fn take_over(&mut self, stored: &StoredVersions, moment: Moment, takes_times: bool) {
        let cautious = |unix_ms| moment.now.min(moment.from_unix_ms(unix_ms) + CLOCK_TOLERANCE);
        // Versions that the last list before the write showed may have served until just now.
        let last_list_ms = stored.written_ms.saturating_sub(LIST_GAP_MAX.as_millis() as UnixMs);
        for (service, version, seen_ms) in &stored.versions {
            let seen_at = if *seen_ms >= last_list_ms { moment.now } else { cautious(*seen_ms) };
            self.note_version(service, version, seen_at);
        }
        let former = stored.former_routes.iter().map(|(host, prefix, service, until_ms)| {
            let (host, prefix, service) = (host.clone(), prefix.clone(), service.clone());
            (RoutedService { host, prefix, service }, cautious(*until_ms))
        });
        self.routes.take_over_former(former.collect(), moment.now);
        if !takes_times {
            return;
        }
        let watched_since = cautious(stored.watched_since_ms);
        self.watched_since =
            Some(self.watched_since.map_or(watched_since, |own| own.min(watched_since)));
        self.listed_at.get_or_insert(moment.now);
        let known_since_ms = stored.routes_known_since_ms.unwrap_or(stored.routes_since_ms);
        self.routes.take_over_times(RouteTimes {
            digest: stored.routes,
            in_force_since: cautious(stored.routes_since_ms),
            known_since: cautious(known_since_ms),
        });
    }
}

impl StoredVersions {
    /// Returns whether the row names all routes and versions of a history.
    fn covers(&self, history: &VersionHistory) -> bool {
        let names = |seen: &SeenVersion| {
            self.versions
                .iter()
                .any(|(service, version, _)| *service == seen.service && *version == seen.version)
        };
        let names_former = |(routed, _): &(RoutedService, Duration)| {
            self.former_routes.iter().any(|(host, prefix, service, _)| {
                *host == routed.host && *prefix == routed.prefix && *service == routed.service
            })
        };
        history.routes.digest().is_none_or(|(digest, _)| digest == self.routes)
            && history.seen.iter().all(names)
            && history.routes.former().iter().all(names_former)
    }

    fn is_due(&self, unix_ms: UnixMs) -> bool {
        let age_ms = unix_ms.saturating_sub(self.written_ms);
        age_ms >= CONFIRM_INTERVAL.as_millis() as UnixMs
    }
}
