//! The lists of the files of one pool, and the combined list that is in force.

use std::sync::Arc;

use sableloom_toml_diagnostics::Problem;
use sableloom_types::{ListedEndpoint, Time};
use sha2::{Digest, Sha256};

use crate::list_spec::ListSpec;
use crate::merge::{Merge, Merged};
use crate::offer::{AppliedList, OfferResult, ReadResult};
use crate::server_record::ServerListing;
use crate::tracked_server::TrackedServer;
use crate::{combined_files, removal_guard};

/// Length in bytes of the hash that identifies a list. The hash is printed in hexadecimal, two digits for a byte.
const HASH_BYTES: usize = 6;
/// Maximum number of files that a message about different versions names, so that the message stays short.
const MAX_REPORTED_VERSIONS: usize = 8;

/// The lists of the files of one pool, and the combined list that is in force.
#[derive(Clone, Debug)]
pub struct FileLists {
    spec: ListSpec,
    /// The listing in force of each file, in the order of the files in `spec`.
    accepted: Vec<Option<Arc<ServerListing>>>,
    /// Listed and draining servers.
    tracked: Vec<TrackedServer>,
    revision: u64,
    hash: String,
    /// Whether the accepted listings were validated under the current `spec`.
    accepted_is_valid: bool,
}

impl FileLists {
    /// A pool with no list in force.
    pub fn new(spec: ListSpec) -> Self {
        let accepted = vec![None; spec.files.len()];
        Self {
            spec,
            accepted,
            tracked: Vec::new(),
            revision: 0,
            hash: String::new(),
            accepted_is_valid: false,
        }
    }

    /// The settings.
    pub fn spec(&self) -> &ListSpec {
        &self.spec
    }

    /// Replaces the settings. Listings of files that the new settings name as well stay in force. The next offer is
    /// validated even if its files are unchanged.
    pub fn set_spec(&mut self, spec: ListSpec) {
        let old = std::mem::take(&mut self.accepted);
        let accepted_of = |file: &String| {
            let index = self.spec.files.iter().position(|other| other == file)?;
            old[index].clone()
        };
        self.accepted = spec.files.iter().map(accepted_of).collect();
        self.spec = spec;
        self.accepted_is_valid = false;
    }

    /// Whether a list is in force.
    pub fn in_force(&self) -> bool {
        self.revision > 0
    }

    /// Revision and hash of the list in force; 0 and an empty text if no list is in force.
    pub fn revision_and_hash(&self) -> (u64, &str) {
        (self.revision, &self.hash)
    }

    /// Number of servers, including those that drain.
    pub fn server_count(&self) -> usize {
        self.tracked.len()
    }

    /// The endpoints of all servers, including those that drain.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        self.tracked.iter().map(TrackedServer::endpoint).collect()
    }

    /// Offers the results of reading all files of the pool, in the order of [`ListSpec::files`].
    ///
    /// A file that can't be read keeps its accepted listing. While files state different versions, every file with a
    /// version keeps its accepted listing. The resulting listings are accepted or rejected together.
    pub fn offer(&mut self, now: Time, readings: &[ReadResult]) -> OfferResult {
        let mut result = OfferResult::default();
        let mut new = self.read_or_accepted(readings, &mut result.problems);
        if let Some(message) = self.version_mismatch(&new) {
            result.version_mismatch = Some(message);
            self.keep_accepted_if_versioned(&mut new);
        }
        let Some(new) = new.into_iter().collect::<Option<Vec<_>>>() else { return result };
        let unchanged = |(new, accepted): (&Arc<ServerListing>, &Option<Arc<ServerListing>>)| {
            accepted.as_ref().is_some_and(|accepted| accepted.digest == new.digest)
        };
        if self.accepted_is_valid && new.iter().zip(&self.accepted).all(unchanged) {
            return result;
        }
        match self.validate(now, &new) {
            Err(problems) => result.problems.extend(problems),
            Ok(merged) => result.applied = self.put_in_force(new, merged),
        }
        result
    }

    /// The new listing of each file, or the accepted listing of a file that can't be read. Adds the problems of files
    /// that can't be read to `problems`.
    fn read_or_accepted(
        &self,
        readings: &[ReadResult],
        problems: &mut Vec<Problem>,
    ) -> Vec<Option<Arc<ServerListing>>> {
        let with_accepted = readings.iter().zip(&self.accepted);
        let choose = |(reading, accepted): (&ReadResult, &Option<Arc<ServerListing>>)| match reading
        {
            Ok(listing) => Some(listing.clone()),
            Err(found) => {
                problems.extend(found.iter().cloned());
                accepted.clone()
            }
        };
        with_accepted.map(choose).collect()
    }

    /// Replaces each new listing by the accepted listing if either of them states a version.
    fn keep_accepted_if_versioned(&self, new: &mut [Option<Arc<ServerListing>>]) {
        let versioned = |listing: &Option<Arc<ServerListing>>| {
            listing.as_ref().is_some_and(|listing| listing.version.is_some())
        };
        for (new, accepted) in new.iter_mut().zip(&self.accepted) {
            if versioned(new) || versioned(accepted) {
                new.clone_from(accepted);
            }
        }
    }

    /// Puts a validated list in force. Returns `None` if the files have the same contents as the list in force.
    fn put_in_force(
        &mut self,
        new: Vec<Arc<ServerListing>>,
        merged: Merged,
    ) -> Option<AppliedList> {
        let mut hash = Sha256::new();
        new.iter().for_each(|listing| hash.update(listing.digest));
        let hash = hash.finalize();
        let hash: String = hash[..HASH_BYTES].iter().map(|byte| format!("{byte:02x}")).collect();
        let is_new = !self.in_force() || self.hash != hash;
        self.tracked = merged.tracked;
        self.accepted_is_valid = true;
        self.hash.clone_from(&hash);
        self.accepted = new.into_iter().map(Some).collect();
        if !is_new {
            return None;
        }
        self.revision += 1;
        Some(AppliedList { revision: self.revision, hash, changes: merged.changes })
    }

    /// A message with the versions that files state, or `None` if all of them are equal.
    fn version_mismatch(&self, new: &[Option<Arc<ServerListing>>]) -> Option<String> {
        let versioned: Vec<(&String, &String)> = new
            .iter()
            .zip(&self.spec.files)
            .filter_map(|(listing, file)| Some((file, listing.as_ref()?.version.as_ref()?)))
            .collect();
        let (_, first) = versioned.first()?;
        if versioned.iter().all(|(_, version)| version == first) {
            return None;
        }
        let versions: Vec<_> = versioned
            .iter()
            .take(MAX_REPORTED_VERSIONS)
            .map(|(file, version)| format!("{file} has `{version}`"))
            .collect();
        Some(format!("versions differ: {}", versions.join(", ")))
    }

    /// The servers of the pool with these listings, or the problems for which the listings are rejected together.
    fn validate(&self, now: Time, new: &[Arc<ServerListing>]) -> Result<Merged, Vec<Problem>> {
        combined_files::check(now, &self.spec.files, new)?;
        let servers = new.iter().flat_map(|listing| &listing.servers);
        let merge = Merge {
            now,
            drain_time: self.spec.drain_time,
            in_force: self.in_force(),
            tracked: &self.tracked,
        };
        let merged = merge.apply(servers);
        removal_guard::check(&self.spec, &self.tracked, &merged.tracked, new, &self.accepted)?;
        Ok(merged)
    }

    /// Removes the servers whose drain time has ended by `now`, and returns whether there were any.
    pub fn remove_drained(&mut self, now: Time) -> bool {
        let before = self.tracked.len();
        self.tracked.retain(|tracked| {
            tracked.drain_ends_at.is_none_or(|drain_ends_at| now < drain_ends_at)
        });
        self.tracked.len() < before
    }

    /// The time from which [`FileLists::remove_drained`] removes a server, or `None` if no server drains.
    pub fn next_drain_end(&self) -> Option<Time> {
        self.tracked.iter().filter_map(|tracked| tracked.drain_ends_at).min()
    }
}
