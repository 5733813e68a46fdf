//! Rule 5 where releases are forward only: a key that the newest build has answered is sent to no earlier build.
//!
//! Clients choose the keys, so there may be any number of them. Once too many are known, every key counts as answered by the
//! newest build: that keeps the rule with a bounded memory, at the price of requests that wait for that build.

use super::Front;
use crate::accounting::{Machine, Request};
use crate::interface::Build;
use std::collections::BTreeMap;

/// Number of keys that are known one by one.
const MAX_KEYS: usize = 131_072;

/// The newest build that has answered each key.
#[derive(Clone, Debug, Default)]
pub struct KeyBuilds {
    builds: BTreeMap<u64, Build>,
    /// The newest build that has answered a key which did not fit.
    other_keys: Option<Build>,
}

impl KeyBuilds {
    /// Records that `build` has answered `key`. A late answer of an earlier build changes nothing.
    pub fn record(&mut self, key: u64, build: Build) {
        if self.builds.len() >= MAX_KEYS && !self.builds.contains_key(&key) {
            self.other_keys = self.other_keys.max(Some(build));
            return;
        }
        let newest = self.builds.entry(key).or_insert(build);
        *newest = build.max(*newest);
    }

    /// Returns the number of keys that are known one by one.
    pub fn len(&self) -> usize {
        self.builds.len()
    }

    /// Returns whether no key is known one by one.
    pub fn is_empty(&self) -> bool {
        self.builds.is_empty()
    }

    /// Returns the newest build that may have answered `key`.
    pub fn newest(&self, key: u64) -> Option<Build> {
        self.builds.get(&key).copied().max(self.other_keys)
    }

    /// Forgets the answers of earlier builds than `build`, which is the newest from now on.
    pub fn forget_before(&mut self, build: Build) {
        self.builds.retain(|_, answered_by| *answered_by >= build);
        self.other_keys = self.other_keys.filter(|answered_by| *answered_by >= build);
    }

    /// Forgets all keys.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

impl Front {
    /// Returns whether the request's key may be sent to this machine.
    pub(super) fn key_allows(&self, request: &Request, machine: &Machine) -> bool {
        if !self.settings.release.forward_only || request.key == 0 {
            return true;
        }
        self.state.key_builds.newest(request.key).is_none_or(|build| machine.entry.build >= build)
    }

    /// Records that `build` has answered the request.
    pub(super) fn record_key_answer(&mut self, request: &Request, build: Build) {
        let newest = self.state.rollout_status.map_or(0, |status| status.build);
        // An earlier build than the newest binds no key.
        if self.settings.release.forward_only && request.key != 0 && build >= newest {
            self.state.key_builds.record(request.key, build);
        }
    }
}
