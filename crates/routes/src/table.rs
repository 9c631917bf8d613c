//! Table of routes that is compiled from all rules of a site at once.
//!
//! Whatever the number of rules, a lookup walks over the bytes of the path and of the host. It then searches a hash map
//! once for each pair of a host pattern and a path pattern that both match. Only rules that have the same pair are
//! tried one after the other.
//!
//! Patterns of hosts and paths are stored in finite state transducers (the `fst` crate; Mihov and Maurel, "Direct
//! Construction of Minimal Acyclic Subsequential Transducers", 2000). One walk over a text finds all patterns that are
//! a prefix of the text.

mod transducer;

use arrayvec::ArrayVec;
use rustc_hash::FxHashMap;

use crate::request::{MAX_HOST_BYTES, RequestHead, host_name};
use crate::rule::{HostPattern, Mismatch, PathPattern, Rule};
use transducer::{PatternId, Transducer, TransducerBuilder};

/// Maximum number of host patterns that match one host: a subdomain pattern for each dot (a dot and the label before it
/// take at least two bytes), an exact pattern, and [`PatternId::ANY`].
const MAX_PATTERNS_PER_HOST: usize = MAX_HOST_BYTES / 2 + 3;
/// Maximum number of pairs of a host pattern and a path pattern over all rules of a table. Each pair takes an entry in
/// memory, and a rule with `h` hosts and `p` paths has `h * p` pairs.
pub const MAX_PATTERN_PAIRS: usize = 4_000_000;

/// Reason why rules can't be compiled.
#[derive(Debug, thiserror::Error)]
pub enum RouteTableError {
    /// The rules have this number of pairs of a host pattern and a path pattern, more than [`MAX_PATTERN_PAIRS`].
    #[error("{0} pairs of a host and a path are more than {MAX_PATTERN_PAIRS}")]
    TooManyPairs(usize),
    /// A pattern is too long for a transducer.
    #[error("the patterns of hosts and paths can't be compiled: {0}")]
    Patterns(#[from] fst::Error),
}

/// Rules in a form that is compiled for lookups.
pub struct RouteTable {
    /// Host patterns in lower case, with their bytes reversed. A subdomain pattern includes the dot before the parent
    /// domain.
    host_patterns: Transducer,
    /// Exact patterns and prefix patterns of paths.
    path_patterns: Transducer,
    /// Suffix patterns of paths, with their bytes reversed.
    suffix_patterns: Transducer,
    /// Indices of the rules that have a pair of a host pattern and a path pattern, in ascending order.
    rules_by_pair: FxHashMap<(PatternId, PatternId), Vec<u32>>,
    rules: Vec<Rule>,
}

impl RouteTable {
    /// Compiles rules, which are in order of precedence: [`RouteTable::find`] returns the first rule that matches a
    /// request.
    ///
    /// # Errors
    ///
    /// Fails if the rules have more than [`MAX_PATTERN_PAIRS`] pairs of a host pattern and a path pattern, or if a
    /// pattern is too long for a transducer.
    pub fn compile(rules: Vec<Rule>) -> Result<Self, RouteTableError> {
        let pair_count = rules.iter().map(Rule::pair_count).sum();
        if pair_count > MAX_PATTERN_PAIRS {
            return Err(RouteTableError::TooManyPairs(pair_count));
        }
        let mut patterns = PatternRegistry::default();
        let mut rules_by_pair: FxHashMap<_, Vec<u32>> = FxHashMap::default();
        for (index, rule) in rules.iter().enumerate() {
            let (hosts, paths) = (patterns.host_ids(rule), patterns.path_ids(rule));
            for host in &hosts {
                for path in &paths {
                    rules_by_pair.entry((*host, *path)).or_default().push(index as u32);
                }
            }
        }
        Ok(Self {
            host_patterns: patterns.hosts.build()?,
            path_patterns: patterns.paths.build()?,
            suffix_patterns: patterns.suffixes.build()?,
            rules_by_pair,
            rules,
        })
    }

    /// The rules, in the order in which they were compiled.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// The index of the first rule whose conditions all hold, or `None` if the conditions of no rule hold.
    pub fn find(&self, head: &RequestHead<'_>) -> Option<usize> {
        let hosts = self.matching_hosts(host_name(head.host));
        let mut first_match = self.rules.len();
        let mut try_path = |path: Option<PatternId>| {
            let Some(path) = path else { return };
            for host in &hosts {
                let Some(rules) = self.rules_by_pair.get(&(*host, path)) else { continue };
                for rule in
                    rules.iter().map(|rule| *rule as usize).take_while(|rule| *rule < first_match)
                {
                    if self.rules[rule].unindexed_mismatch(head).is_none() {
                        first_match = rule;
                        break;
                    }
                }
            }
        };
        try_path(Some(PatternId::ANY));
        let path = head.path;
        self.path_patterns.walk(
            path.len(),
            |i| path[i],
            |ids, length| {
                try_path(ids.prefix);
                if length == path.len() {
                    try_path(ids.exact);
                }
            },
        );
        let last_index = path.len().wrapping_sub(1);
        self.suffix_patterns.walk(
            path.len(),
            |i| path[last_index - i],
            |ids, _| try_path(ids.prefix),
        );
        (first_match < self.rules.len()).then_some(first_match)
    }

    /// The first condition of a rule that does not hold for a request. Returns `None` if all conditions hold, or if
    /// there is no rule with the index `rule`.
    ///
    /// The patterns are compared one by one. The method is meant to explain a lookup to an operator;
    /// [`RouteTable::find`] is the method that routes a request.
    pub fn mismatch(&self, rule: usize, head: &RequestHead<'_>) -> Option<Mismatch<'_>> {
        self.rules.get(rule)?.mismatch(head)
    }

    fn matching_hosts(&self, name: &[u8]) -> ArrayVec<PatternId, MAX_PATTERNS_PER_HOST> {
        let mut matching = ArrayVec::new();
        matching.push(PatternId::ANY);
        if name.len() > MAX_HOST_BYTES {
            return matching;
        }
        let last_index = name.len().wrapping_sub(1);
        self.host_patterns.walk(
            name.len(),
            |i| name[last_index - i].to_ascii_lowercase(),
            |ids, length| {
                // A subdomain pattern that takes up the whole name does not match: a subdomain has at least one byte
                // before the dot.
                let id = if length == name.len() { ids.exact } else { ids.prefix };
                if let Some(id) = id {
                    let _ = matching.try_push(id);
                }
            },
        );
        matching
    }
}

/// Assigns a number to each pattern of the rules, and collects the texts of the patterns for the transducers.
#[derive(Default)]
struct PatternRegistry {
    hosts: TransducerBuilder,
    paths: TransducerBuilder,
    suffixes: TransducerBuilder,
    last_host_id: PatternId,
    last_path_id: PatternId,
}

impl PatternRegistry {
    /// The numbers of the host patterns of a rule, without duplicates.
    fn host_ids(&mut self, rule: &Rule) -> Vec<PatternId> {
        let (hosts, last_id) = (&mut self.hosts, &mut self.last_host_id);
        let ids = rule.hosts.iter().map(|host| match host {
            HostPattern::Exact(name) => hosts.exact_id(reversed_lowercase(name), last_id),
            HostPattern::Subdomains(name) => {
                hosts.prefix_id(reversed_lowercase(&format!(".{name}")), last_id)
            }
        });
        unique_ids_or_any(ids.collect())
    }

    /// The numbers of the path patterns of a rule, without duplicates.
    fn path_ids(&mut self, rule: &Rule) -> Vec<PatternId> {
        let (paths, last_id) = (&mut self.paths, &mut self.last_path_id);
        let suffixes = &mut self.suffixes;
        let ids = rule.paths.iter().map(|path| match path {
            PathPattern::Exact(text) => paths.exact_id(text.clone().into(), last_id),
            PathPattern::Prefix(text) => paths.prefix_id(text.clone().into(), last_id),
            PathPattern::Suffix(text) => suffixes.prefix_id(text.bytes().rev().collect(), last_id),
        });
        unique_ids_or_any(ids.collect())
    }
}

/// Sorts numbers of patterns and removes duplicates; an empty list becomes [`PatternId::ANY`].
fn unique_ids_or_any(mut ids: Vec<PatternId>) -> Vec<PatternId> {
    if ids.is_empty() {
        ids.push(PatternId::ANY);
    }
    ids.sort_unstable();
    ids.dedup();
    ids
}

fn reversed_lowercase(text: &str) -> Vec<u8> {
    text.bytes().rev().map(|b| b.to_ascii_lowercase()).collect()
}
