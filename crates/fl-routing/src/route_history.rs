//! Remembers which services streams of a path may have been begun by, although operators have moved
//! its route since.
//!
//! A change of the table concerns only the routes that share paths with what changed, so that a new
//! route does not make the streams of all others unknown. See `docs/design/120-stream-origins.md`.

use crate::stream_origins::is_remembered;
use fl_protocol::forward::{CallKind, Route};
use fl_protocol::{ServiceName, hash64};
use std::sync::Arc;
use std::time::Duration;

/// Former routes that are remembered. After a larger change, all streams that began before it are
/// unknown.
const FORMER_MAX: usize = 128;

/// A service behind the paths of a host that begin with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoutedService {
    /// Host of the calls.
    pub host: String,
    /// Prefix of the calls' paths.
    pub prefix: String,
    /// Service that may begin streams there.
    pub service: ServiceName,
}

/// The routes of streams that are in force, and those that were lately.
#[derive(Debug, Clone, Default)]
pub struct RouteHistory {
    /// Sorted.
    current: Vec<RoutedService>,
    /// Services that may have begun streams of these paths, with the time until which they did.
    /// Sorted by service.
    former: Vec<(RoutedService, Duration)>,
    /// Digest of the routes of resumable streams, and since when they are in force.
    digest: Option<(u64, Duration)>,
    /// Since when every change was noted.
    known_since: Option<Duration>,
    /// What the store says of the routes, until this node reads its first table.
    inherited: Option<RouteTimes>,
}

/// Since when routes are in force, and since when their changes are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteTimes {
    /// Digest of the routes of resumable streams.
    pub digest: u64,
    /// Since when these routes are in force.
    pub in_force_since: Duration,
    /// Since when every change was noted.
    pub known_since: Duration,
}

/// Returns a digest of the services behind the routes of resumable streams; `None` if there is no
/// such route.
fn routes_digest(routes: &[Arc<Route>]) -> Option<u64> {
    let mut fields: Vec<&[u8]> = Vec::new();
    for route in routes.iter().filter(|route| route.is_resumable_stream()) {
        fields.extend([route.host.as_bytes(), route.prefix.as_bytes()]);
        fields.extend(route.services.iter().map(|(service, _)| service.as_bytes()));
    }
    (!fields.is_empty()).then(|| hash64(&fields))
}

/// Returns the services behind the routes of streams. Those that may not be resumed count as well,
/// as operators may allow it later.
fn routed_services(routes: &[Arc<Route>]) -> Vec<RoutedService> {
    let mut routed = Vec::new();
    for route in routes.iter().filter(|route| route.kind == CallKind::Stream) {
        routed.extend(route.services.iter().map(|(service, _)| RoutedService {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            service: service.clone(),
        }));
    }
    routed.sort_unstable();
    routed.dedup();
    routed
}

impl RoutedService {
    /// Returns whether some path of a host belongs to both prefixes.
    fn shares_paths(&self, host: &str, prefix: &str) -> bool {
        let overlaps = self.prefix.starts_with(prefix) || prefix.starts_with(&self.prefix);
        overlaps && self.host == host
    }
}

impl RouteHistory {
    /// Notes the routes in force. Returns whether streams may be begun by other services than before.
    /// Ignored while no stream may be resumed.
    pub fn note(&mut self, routes: &[Arc<Route>], now: Duration) -> bool {
        let Some(digest) = routes_digest(routes).or(self.digest.map(|(digest, _)| digest)) else {
            return false;
        };
        let current = routed_services(routes);
        let is_first = self.digest.is_none();
        if !is_first && current == self.current {
            return false;
        }
        if is_first {
            self.begin(digest, now);
        } else {
            self.note_former(&current, now);
        }
        if self.digest.is_none_or(|(known, _)| known != digest) {
            self.digest = Some((digest, now));
        }
        self.current = current;
        true
    }

    /// Notes the first table that this node reads.
    fn begin(&mut self, digest: u64, now: Duration) {
        let own = RouteTimes { digest, in_force_since: now, known_since: now };
        let times = self.inherited.filter(|times| times.digest == digest).unwrap_or(own);
        self.digest = Some((digest, times.in_force_since));
        self.known_since = Some(times.known_since);
    }

    /// Remembers what the change to another table leaves behind: the services of routes that are gone,
    /// and those that had the paths of a new route before.
    fn note_former(&mut self, current: &[RoutedService], now: Duration) {
        let mut former: Vec<RoutedService> = Vec::new();
        let is_gone = |routed: &&RoutedService| current.binary_search(routed).is_err();
        former.extend(self.current.iter().filter(is_gone).cloned());
        for added in current.iter().filter(|routed| self.current.binary_search(routed).is_err()) {
            let shares = |before: &&RoutedService| {
                before.service != added.service && before.shares_paths(&added.host, &added.prefix)
            };
            former.extend(
                self.current
                    .iter()
                    .filter(shares)
                    .map(|before| RoutedService { prefix: added.prefix.clone(), ..before.clone() }),
            );
        }
        self.add_former(former.into_iter().map(|routed| (routed, now)), now);
    }

    fn add_former(
        &mut self,
        former: impl IntoIterator<Item = (RoutedService, Duration)>,
        now: Duration,
    ) {
        self.former.extend(former);
        self.former.retain(|(_, until)| is_remembered(*until, now));
        // The latest time of each comes first and stays.
        self.former.sort_by(|one, other| one.0.cmp(&other.0).then(other.1.cmp(&one.1)));
        self.former.dedup_by(|one, other| one.0 == other.0);
        if self.former.len() > FORMER_MAX {
            self.former.clear();
            self.known_since = Some(now);
        }
    }

    /// Returns the services that may have begun a stream of a route, `None` if that is not known for
    /// as long as streams last.
    pub fn possible_services<'a>(
        &'a self,
        route: &'a Route,
        now: Duration,
    ) -> Option<Vec<&'a str>> {
        self.known_since.filter(|since| !is_remembered(*since, now))?;
        let mut services: Vec<&str> =
            route.services.iter().map(|(service, _)| service.as_str()).collect();
        let former = self.former.iter().filter(|(routed, until)| {
            is_remembered(*until, now) && routed.shares_paths(&route.host, &route.prefix)
        });
        services.extend(former.map(|(routed, _)| routed.service.as_str()));
        services.sort_unstable();
        services.dedup();
        Some(services)
    }

    /// Notes that no stream began before this node started.
    pub fn begin_without_streams(&mut self) {
        self.known_since = self.known_since.map(|_| Duration::ZERO);
    }

    /// Returns the digest of the routes of resumable streams and since when they are in force, `None`
    /// if none was.
    pub fn digest(&self) -> Option<(u64, Duration)> {
        self.digest
    }

    /// Returns since when every change was noted.
    pub fn known_since(&self) -> Option<Duration> {
        self.known_since
    }

    /// Returns the services that may have begun streams of paths which lead elsewhere now, each with
    /// the time until which they did.
    pub fn former(&self) -> &[(RoutedService, Duration)] {
        &self.former
    }

    /// Takes over former routes that another node noted.
    pub fn take_over_former(&mut self, former: Vec<(RoutedService, Duration)>, now: Duration) {
        self.add_former(former, now);
    }

    /// Takes over the times that another node noted. Ignored if other routes are in force here.
    pub fn take_over_times(&mut self, times: RouteTimes) {
        match &mut self.digest {
            None => self.inherited = Some(times),
            Some((known, in_force_since)) if *known == times.digest => {
                *in_force_since = times.in_force_since.min(*in_force_since);
                self.known_since = self.known_since.map(|own| own.min(times.known_since));
            }
            Some(_) => {}
        }
    }
}
