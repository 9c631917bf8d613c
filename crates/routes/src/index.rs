//! Routes of many services that are added and removed one by one.
//!
//! A [`RouteTable`](crate::RouteTable) is compiled as a whole. With the 21,000 routes of a fleet, a compilation takes a
//! second of processor time, and each change of a route requires one. [`RouteIndex`] finds the same routes, but adds or
//! removes one route at a time, at a cost in proportion to the number of patterns of the route.
//!
//! A lookup searches a hash map for the host and for each parent domain of the host. In each entry that it finds, it
//! searches for the patterns that match the path. A lookup allocates no memory, and services whose hosts do not match
//! do not add to its cost.

mod patterns;
mod postings;

use std::collections::BTreeMap;

use arrayvec::ArrayVec;
use rustc_hash::FxHashMap;

use crate::request::{MAX_HOST_BYTES, RequestHead, host_name};
use crate::rule::{HostPattern, PathPattern, Rule};
use patterns::PatternMap;
use postings::{Postings, Slot};

/// Maximum number of pairs of a host pattern and a path pattern of one route. The index has an entry for each pair, and
/// 60 KB of patterns could otherwise make a hundred million pairs.
pub const MAX_PATTERN_PAIRS_PER_ROUTE: usize = 20_000;

/// Position of a route in the order of all routes. Routes are ordered by rank, then by service, then by name. The first
/// route that matches a request is taken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteOrder {
    /// Rank of the route; a lower rank comes first.
    pub rank: u32,
    /// Name of the service that the route belongs to.
    pub service: Box<str>,
    /// Name of the route, unique in its service.
    pub name: Box<str>,
}

/// A route with its position, its conditions and its target.
#[derive(Clone, Debug)]
pub struct IndexedRoute<T> {
    /// Position of the route in the order of all routes.
    pub order: RouteOrder,
    /// Conditions on a request.
    pub rule: Rule,
    /// Target of the requests that take the route; the index does not interpret it.
    pub target: T,
}

/// Routes that have the same host pattern, by path pattern.
#[derive(Default)]
struct PathIndex {
    /// Routes without a path pattern.
    any_path: Postings,
    exact: PatternMap,
    prefixes: PatternMap,
    suffixes: PatternMap,
}

/// Index of routes by host pattern and path pattern.
pub struct RouteIndex<T> {
    /// Routes by slot; a free slot has `None`.
    routes: Vec<Option<IndexedRoute<T>>>,
    free_slots: Vec<Slot>,
    slots_by_service: FxHashMap<Box<str>, BTreeMap<Box<str>, Slot>>,
    /// Routes without a host pattern.
    any_host: PathIndex,
    /// Routes by the host of an exact host pattern, in lower case.
    exact_hosts: FxHashMap<Box<[u8]>, PathIndex>,
    /// Routes by the parent domain of a subdomain pattern, in lower case.
    subdomain_hosts: FxHashMap<Box<[u8]>, PathIndex>,
}

impl<T> Default for RouteIndex<T> {
    fn default() -> Self {
        Self {
            routes: Vec::new(),
            free_slots: Vec::new(),
            slots_by_service: FxHashMap::default(),
            any_host: PathIndex::default(),
            exact_hosts: FxHashMap::default(),
            subdomain_hosts: FxHashMap::default(),
        }
    }
}

impl<T> RouteIndex<T> {
    /// Adds a route, or replaces the route that has the same service and name. The caller ensures that the route has at
    /// most [`MAX_PATTERN_PAIRS_PER_ROUTE`] pairs of a host pattern and a path pattern.
    pub fn set(&mut self, route: IndexedRoute<T>) {
        let RouteOrder { service, name, .. } = &route.order;
        self.remove(service, name);
        let (service, name) = (service.clone(), name.clone());
        let hosts = host_keys(&route.rule);
        let slot = self.store(route);
        for host in &hosts {
            self.add_postings(host, slot);
        }
        self.slots_by_service.entry(service).or_default().insert(name, slot);
    }

    /// Removes a route, and returns whether the index contained it.
    pub fn remove(&mut self, service: &str, name: &str) -> bool {
        let Some(names) = self.slots_by_service.get_mut(service) else { return false };
        let Some(slot) = names.remove(name) else { return false };
        if names.is_empty() {
            self.slots_by_service.remove(service);
        }
        self.remove_postings(slot);
        self.routes[slot as usize] = None;
        self.free_slots.push(slot);
        true
    }

    /// Removes all routes of a service, and returns their number.
    pub fn remove_service(&mut self, service: &str) -> usize {
        let names = self.slots_by_service.get(service);
        let names: Vec<Box<str>> = names.into_iter().flat_map(BTreeMap::keys).cloned().collect();
        names.iter().filter(|name| self.remove(service, name)).count()
    }

    /// The names of the routes of a service, in ascending order.
    pub fn route_names(&self, service: &str) -> impl Iterator<Item = &str> {
        self.slots_by_service.get(service).into_iter().flat_map(BTreeMap::keys).map(|name| &**name)
    }

    /// Number of routes in the index.
    pub fn len(&self) -> usize {
        self.routes.len() - self.free_slots.len()
    }

    /// Whether the index contains no route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of different host patterns, plus the number of different path patterns of routes without a host pattern.
    pub fn pattern_count(&self) -> usize {
        let paths = [&self.any_host.exact, &self.any_host.prefixes, &self.any_host.suffixes];
        let paths: usize = paths.iter().map(|map| map.len()).sum();
        self.exact_hosts.len() + self.subdomain_hosts.len() + paths
    }

    /// The first route in order whose conditions all hold, or `None` if the conditions of no route hold.
    pub fn find(&self, head: &RequestHead<'_>) -> Option<&IndexedRoute<T>> {
        let mut search = Search { index: self, head, best: None };
        search.try_paths(&self.any_host);
        let name = host_name(head.host);
        if name.len() > MAX_HOST_BYTES {
            return search.best;
        }
        let lowercase: ArrayVec<u8, MAX_HOST_BYTES> =
            name.iter().map(u8::to_ascii_lowercase).collect();
        if let Some(paths) = self.exact_hosts.get(lowercase.as_slice()) {
            search.try_paths(paths);
        }
        if self.subdomain_hosts.is_empty() {
            return search.best;
        }
        // A dot at position 0 is skipped: a subdomain has at least one byte before the dot.
        for dot in (1..lowercase.len()).filter(|at| lowercase[*at] == b'.') {
            if let Some(paths) = self.subdomain_hosts.get(&lowercase[dot + 1..]) {
                search.try_paths(paths);
            }
        }
        search.best
    }

    fn store(&mut self, route: IndexedRoute<T>) -> Slot {
        match self.free_slots.pop() {
            Some(slot) => {
                self.routes[slot as usize] = Some(route);
                slot
            }
            None => {
                self.routes.push(Some(route));
                (self.routes.len() - 1) as Slot
            }
        }
    }

    fn add_postings(&mut self, host: &HostKey, slot: Slot) {
        let routes = &self.routes;
        let Some(route) = &routes[slot as usize] else { return };
        let paths: &mut PathIndex = match host {
            HostKey::Any => &mut self.any_host,
            HostKey::Exact(name) => self.exact_hosts.entry(name.clone()).or_default(),
            HostKey::Subdomains(name) => self.subdomain_hosts.entry(name.clone()).or_default(),
        };
        let compare = |other: &Slot| order_of(routes, *other).cmp(&Some(&route.order));
        if route.rule.paths.is_empty() {
            paths.any_path.insert(slot, compare);
        }
        for path in &route.rule.paths {
            let (map, text) = paths.map_and_key(path);
            map.insert(text, slot, compare);
        }
    }

    fn remove_postings(&mut self, slot: Slot) {
        let routes = &self.routes;
        let Some(route) = &routes[slot as usize] else { return };
        let compare = |other: &Slot| order_of(routes, *other).cmp(&Some(&route.order));
        let remove_paths = |paths: &mut PathIndex| {
            if route.rule.paths.is_empty() {
                paths.any_path.remove(compare);
            }
            for path in &route.rule.paths {
                let (map, text) = paths.map_and_key(path);
                map.remove(text, compare);
            }
            paths.is_empty()
        };
        for host in host_keys(&route.rule) {
            match host {
                HostKey::Any => {
                    remove_paths(&mut self.any_host);
                }
                HostKey::Exact(name) => {
                    remove_from_host(&mut self.exact_hosts, &name, remove_paths)
                }
                HostKey::Subdomains(name) => {
                    remove_from_host(&mut self.subdomain_hosts, &name, remove_paths)
                }
            }
        }
    }
}

/// Key of a host pattern, in lower case.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum HostKey {
    Any,
    Exact(Box<[u8]>),
    Subdomains(Box<[u8]>),
}

/// Keys of the host patterns of a rule, without duplicates; [`HostKey::Any`] if the rule has no host pattern.
fn host_keys(rule: &Rule) -> Vec<HostKey> {
    let lowercase = |name: &str| name.to_ascii_lowercase().into_bytes().into_boxed_slice();
    let mut hosts: Vec<HostKey> = rule
        .hosts
        .iter()
        .map(|host| match host {
            HostPattern::Exact(name) => HostKey::Exact(lowercase(name)),
            HostPattern::Subdomains(name) => HostKey::Subdomains(lowercase(name)),
        })
        .collect();
    if hosts.is_empty() {
        hosts.push(HostKey::Any);
    }
    hosts.sort_unstable();
    hosts.dedup();
    hosts
}

fn order_of<T>(routes: &[Option<IndexedRoute<T>>], slot: Slot) -> Option<&RouteOrder> {
    routes[slot as usize].as_ref().map(|route| &route.order)
}

/// Calls `remove_paths` on the entry of a host pattern, and removes the entry if `remove_paths` returns that it has no
/// route left.
fn remove_from_host(
    hosts: &mut FxHashMap<Box<[u8]>, PathIndex>,
    name: &[u8],
    remove_paths: impl Fn(&mut PathIndex) -> bool,
) {
    if hosts.get_mut(name).is_some_and(remove_paths) {
        hosts.remove(name);
    }
}

impl PathIndex {
    /// The map for patterns of the same kind as `path`, and the text of `path` as the key.
    fn map_and_key<'p>(&mut self, path: &'p PathPattern) -> (&mut PatternMap, &'p [u8]) {
        match path {
            PathPattern::Exact(text) => (&mut self.exact, text.as_bytes()),
            PathPattern::Prefix(text) => (&mut self.prefixes, text.as_bytes()),
            PathPattern::Suffix(text) => (&mut self.suffixes, text.as_bytes()),
        }
    }

    fn is_empty(&self) -> bool {
        let maps = [&self.exact, &self.prefixes, &self.suffixes];
        self.any_path.is_empty() && maps.iter().all(|map| map.len() == 0)
    }
}

/// State of a lookup.
struct Search<'i, 'h, T> {
    index: &'i RouteIndex<T>,
    head: &'h RequestHead<'h>,
    /// First route in order among the routes that matched so far.
    best: Option<&'i IndexedRoute<T>>,
}

impl<T> Search<'_, '_, T> {
    fn try_paths(&mut self, paths: &PathIndex) {
        let path = self.head.path;
        self.try_postings(&paths.any_path);
        paths.exact.visit_exact(path, |postings| self.try_postings(postings));
        paths.prefixes.visit_prefixes_of(path, |postings| self.try_postings(postings));
        paths.suffixes.visit_suffixes_of(path, |postings| self.try_postings(postings));
    }

    /// Tries routes in order, up to the first that matches or that does not come before the best route so far.
    fn try_postings(&mut self, postings: &Postings) {
        for slot in postings.as_slice() {
            let Some(route) = &self.index.routes[*slot as usize] else { continue };
            if self.best.is_some_and(|best| best.order <= route.order) {
                return;
            }
            if route.rule.unindexed_mismatch(self.head).is_none() {
                self.best = Some(route);
                return;
            }
        }
    }
}
