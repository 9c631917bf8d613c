//! Where the views of several balancers differ.

use std::collections::BTreeMap;
use std::fmt;

use sableloom_fleet::{QueryError, Status};

use super::members_table::summary;

/// Balancers by what they say.
type Said<K, B> = BTreeMap<K, Vec<B>>;

/// The statuses of several balancers, side by side.
#[derive(Default)]
pub(super) struct Comparison<'a> {
    /// A summary of each answer, or why there is none.
    answers: Vec<String>,
    /// Whether a balancer gave no status.
    has_errors: bool,
    /// What is said of each member.
    members: BTreeMap<&'a str, Said<String, &'a str>>,
    view_digests: Said<&'a str, &'a str>,
    list_lengths: Said<usize, &'a str>,
    endpoints_digests: Said<&'a str, &'a str>,
    /// What the shares add up to.
    shares: f64,
}

impl<'a> Comparison<'a> {
    pub(super) fn of(answers: &'a [Result<Status, QueryError>]) -> Self {
        let mut comparison = Self::default();
        for answer in answers {
            match answer {
                Ok(status) => comparison.add(status),
                Err(error) => {
                    comparison.has_errors = true;
                    comparison.answers.push(error.to_string());
                }
            }
        }
        comparison
    }

    fn add(&mut self, status: &'a Status) {
        let own = status.own_name.as_str();
        self.answers.push(summary(status));
        self.view_digests.entry(&status.view_digest).or_default().push(own);
        self.endpoints_digests.entry(&status.endpoints_digest).or_default().push(own);
        self.list_lengths.entry(status.members.len() + 1).or_default().push(own);
        if status.share.balancers > 0 {
            self.shares += 1.0 / f64::from(status.share.balancers);
        }
        self.says(own, own, format!("alive in life {}", status.process_incarnation));
        for member in &status.members {
            let state = match member.state.as_str() {
                "suspect" | "alive" => {
                    format!("{} in life {}", member.state, member.process_incarnation)
                }
                state => state.to_string(),
            };
            self.says(own, &member.name, state);
        }
    }

    fn says(&mut self, balancer: &'a str, member: &'a str, state: String) {
        self.members.entry(member).or_default().entry(state).or_default().push(balancer);
    }

    /// Whether all gave a status, and their views, lists and endpoint lists are the same.
    pub(super) fn agree(&self) -> bool {
        !self.has_errors
            && self.view_digests.len() <= 1
            && self.list_lengths.len() <= 1
            && self.endpoints_digests.len() <= 1
    }
}

impl fmt::Display for Comparison<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for answer in &self.answers {
            writeln!(f, "{answer}")?;
        }
        for (member, said) in self.members.iter().filter(|(_, said)| said.len() > 1) {
            let state = |(state, by): (&String, &Vec<&str>)| format!("{state} by {}", by.join(" "));
            let states: Vec<String> = said.iter().map(state).collect();
            writeln!(f, "{member}: {}", states.join("; "))?;
        }
        for (length, by) in self.list_lengths.iter().filter(|_| self.list_lengths.len() > 1) {
            writeln!(f, "{length} listed by {}", by.join(" "))?;
        }
        let endpoints = self.endpoints_digests.iter();
        for (digest, by) in endpoints.filter(|_| self.endpoints_digests.len() > 1) {
            writeln!(f, "lists of servers {digest} at {}", by.join(" "))?;
        }
        let verdict = if self.agree() { "they agree" } else { "they do not agree" };
        writeln!(f, "{verdict}; their parts add up to {:.3}", self.shares)
    }
}
