//! The discovery that information about the list comes from.
//!
//! While a new configuration spreads over a fleet, some fronts know the list from the old address of discovery and
//! some from the new one. Each identifies its discovery by a digest of the address at which it reaches it.
//! Deployments differ in whether all fronts use the same address, so another identifier alone proves nothing; it does
//! once another front has sent this front's own identifier.

use crate::interface::{DiscoveryId, Micros};

/// A new configuration has reached all fronts within this time after the first one.
const CONFIGURATION_SPREAD_TIME: Micros = 30_000_000;

/// The discovery that this front's list comes from, and what is known of the discovery of other fronts.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryOrigin {
    discovery_id: DiscoveryId,
    /// When discovery last moved.
    moved_at: Option<Micros>,
    /// Another front has sent the same identifier since then.
    is_shared: bool,
}

impl DiscoveryOrigin {
    /// Returns the identifier that is sent to other fronts.
    pub fn discovery_id(&self) -> DiscoveryId {
        self.discovery_id
    }

    /// Sets the discovery that is used from the start.
    pub fn set_initial(&mut self, discovery_id: DiscoveryId) {
        *self = Self { discovery_id, ..Self::default() };
    }

    /// Records that discovery has moved.
    pub fn move_to(&mut self, now: Micros, discovery_id: DiscoveryId) {
        *self = Self { discovery_id, moved_at: Some(now), is_shared: false };
    }

    /// Returns whether information from that discovery may be about the one that this front uses.
    pub fn accepts(&mut self, now: Micros, discovery_id: DiscoveryId) -> bool {
        if discovery_id == self.discovery_id {
            self.is_shared = true;
            return true;
        }
        let is_settled = self.moved_at.is_none_or(|at| now >= at + CONFIGURATION_SPREAD_TIME);
        is_settled && !self.is_shared
    }
}
