//! Which discovery a word about the list is of.
//!
//! While a new configuration spreads over a fleet, some fronts know the list from where discovery was and some from where it
//! is. Each names its source by a digest of the address at which it reaches discovery. Deployments differ in whether all
//! fronts reach it at one address, so another name proves nothing by itself; it does once the own one has been heard.

use crate::interface::{DiscoveryId, Micros};

/// A new configuration has reached all fronts this long after the first one.
const CONFIGURATION_SPREADS_WITHIN: Micros = 30_000_000;

/// The source that this front knows the list from, and what it has heard of others' sources.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryOrigin {
    source: DiscoveryId,
    /// When discovery last moved.
    moved_at: Option<Micros>,
    /// Another front named the same source since then.
    is_shared: bool,
}

impl DiscoveryOrigin {
    /// What other fronts are told.
    pub fn discovery_id(&self) -> DiscoveryId {
        self.source
    }

    /// Discovery is at this source from the start on.
    pub fn set_initial(&mut self, source: DiscoveryId) {
        *self = Self { source, ..Self::default() };
    }

    /// Discovery is at this source from now on.
    pub fn move_to(&mut self, now: Micros, source: DiscoveryId) {
        *self = Self { source, moved_at: Some(now), is_shared: false };
    }

    /// Whether a word of that source may be of the one that this front goes by.
    pub fn accepts(&mut self, now: Micros, source: DiscoveryId) -> bool {
        if source == self.source {
            self.is_shared = true;
            return true;
        }
        let is_settled = self.moved_at.is_none_or(|at| now >= at + CONFIGURATION_SPREADS_WITHIN);
        is_settled && !self.is_shared
    }
}
