//! All rules of a site, compiled at once.
//!
//! A lookup costs a walk over the path's bytes and over the host's, whatever the number of rules, plus one look-up for
//! each pair of a path pattern and a host pattern that match; only rules with the very same patterns are tried one
//! after the other.
//!
//! Hosts and paths lie in finite state transducers (the `fst` crate; Mihov and Maurel, "Direct Construction of Minimal
//! Acyclic Subsequential Transducers", 2000): one walk finds every prefix that is a pattern.

mod transducer;

use arrayvec::ArrayVec;
use rustc_hash::FxHashMap;

use crate::request::{MAX_HOST_BYTES, RequestHead, host_name};
use crate::rule::{HostPattern, Mismatch, PathPattern, Rule};
use transducer::{PatternId, Transducer, TransducerBuilder};

/// Maximum number of patterns that match one host: one for each dot, the host itself, and any.
const MAX_PATTERNS_PER_HOST: usize = MAX_HOST_BYTES / 2 + 3;
/// Maximum number of pairs of a host and a path pattern over all rules.
pub const MAX_PATTERN_PAIRS: usize = 4_000_000;

/// Why rules can't be compiled.
#[derive(Debug, thiserror::Error)]
pub enum RouteTableError {
    /// More pairs of patterns than a table holds.
    #[error("{0} pairs of a host and a path are more than {MAX_PATTERN_PAIRS}")]
    TooManyPairs(usize),
    /// A pattern that is too long for the table.
    #[error("patterns: {0}")]
    Patterns(#[from] fst::Error),
}

/// Rules, compiled.
pub struct RouteTable {
    /// Host patterns from their end, in lower case; a pattern of subdomains begins with a dot.
    host_patterns: Transducer,
    /// Exact path patterns and prefixes, from their start.
    path_patterns: Transducer,
    /// Suffixes of paths, from their end.
    suffix_patterns: Transducer,
    /// The rules of each pair of patterns, in order.
    rules_by_pair: FxHashMap<(PatternId, PatternId), Vec<u32>>,
    rules: Vec<Rule>,
}

impl RouteTable {
    /// Compiles rules in their order.
    ///
    /// # Errors
    ///
    /// If there are more than [`MAX_PATTERN_PAIRS`] pairs of patterns, or a pattern is too long.
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

    /// The rules, in order.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// The index of the first rule whose conditions all hold.
    pub fn find(&self, head: &RequestHead<'_>) -> Option<usize> {
        let hosts = self.matching_hosts(host_name(head.host));
        let mut first = self.rules.len();
        let mut try_path = |path: Option<PatternId>| {
            let Some(path) = path else { return };
            for host in &hosts {
                let Some(rules) = self.rules_by_pair.get(&(*host, path)) else { continue };
                for rule in rules.iter().map(|rule| *rule as usize).take_while(|rule| *rule < first)
                {
                    if self.rules[rule].unindexed_mismatch(head).is_none() {
                        first = rule;
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
        (first < self.rules.len()).then_some(first)
    }

    /// The first condition of a rule that does not hold for a request, each tried by itself: for an explanation to an
    /// operator, not for a decision.
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
                // A subdomain has something before the dot.
                let id = if length == name.len() { ids.exact } else { ids.prefix };
                if let Some(id) = id {
                    let _ = matching.try_push(id);
                }
            },
        );
        matching
    }
}

/// The patterns of all rules, numbered.
#[derive(Default)]
struct PatternRegistry {
    hosts: TransducerBuilder,
    paths: TransducerBuilder,
    suffixes: TransducerBuilder,
    last_host_id: PatternId,
    last_path_id: PatternId,
}

impl PatternRegistry {
    /// The host patterns of a rule, each once.
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

    /// The path patterns of a rule, each once.
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
