//! What the driver logs from time to time of the connections, requests and memory in use.

use super::{Driver, ShadowSettings};
use crate::net::machines::Progress;

impl Driver {
    /// Logs the connections and requests in use, and the attempt failures since the last report.
    pub(super) fn log_usage(&self) {
        let (clients, machine_connections) = self.event_bus.descriptors.in_use();
        let [fresh, kept] = self.event_bus.idle_clients.each_ref().map(|c| c.get());
        let idle = self.remotes.machines.idle_count();
        let failures = self.remotes.machines.take_failure_counts();
        log::info!(
            "clients {clients} ({fresh} new, {kept} kept idle), requests {}, attempts in flight {}, \
             connections to machines {machine_connections} ({idle} idle), attempts failed {failures:?}",
            self.open_requests.len(),
            self.attempts_in_flight.len(),
        );
        let bodies = self.event_bus.bodies_without_memory.take();
        let answers = self.remotes.machines.take_answers_that_waited();
        if bodies + answers > 0 {
            log::warn!(
                "memory for large bodies was used up: {bodies} requests rejected, {answers} answers waited"
            );
        }
        let half_read = self.event_bus.half_read_closes.take();
        if half_read > 0 {
            log::warn!("clients could not connect: {half_read} connections with half a request were closed");
        }
        let calls = self.remotes.discovery.take_counts();
        log::info!(
            "list: version {}, last confirmed {:?} ago; calls to discovery: {} opened, {} renewed, failed {:?}, \
             slowest opening {:?}; since the start {:?}",
            self.remotes.discovery.index(),
            self.remotes.discovery.last_answered_at().map(|at| at.elapsed()),
            calls.opened,
            calls.renewed,
            calls.failed,
            calls.slowest_open,
            self.front.membership_counts(),
        );
        if let Some((events, counts)) = self.shadow.as_ref().map(ShadowSettings::counts) {
            log::info!("watch: {events} events, decisions that differ under the shadow settings: {counts:?}");
        }
        for line in
            [self.event_bus.classifier.report(), self.event_bus.ledger_writer.report()].into_iter().flatten()
        {
            log::info!("{line}");
        }
    }

    /// Logs what uses the descriptors, if one of their limits is reached.
    pub(super) fn log_limit_reached(&self) {
        let (clients, machine_connections) = self.event_bus.descriptors.in_use();
        let (client_limit, machine_limit) = self.event_bus.descriptors.limits();
        let idle = self.remotes.machines.idle_count();
        if clients < client_limit
            && machine_connections - idle < machine_limit
            && !self.event_bus.descriptors.is_full()
        {
            return;
        }
        let unsent =
            self.attempts_in_flight.values().filter(|f| f.progress.get() < Progress::Written).count();
        let [fresh, kept] = self.event_bus.idle_clients.each_ref().map(|c| c.get());
        let first_byte_wait = self.event_bus.max_first_byte_wait.take();
        let waiting = self.open_requests.values().filter(|o| !o.exchange.is_finished()).count();
        let in_flight = self.attempts_in_flight.len();
        log::warn!(
            "at a limit: clients {clients} of {client_limit} ({fresh} new, {kept} kept idle, \
             first bytes up to {first_byte_wait} us), requests waiting {waiting}, attempts in flight {in_flight} \
             ({unsent} unsent), connections to machines {machine_connections} of {machine_limit} ({idle} idle)"
        );
    }
}
