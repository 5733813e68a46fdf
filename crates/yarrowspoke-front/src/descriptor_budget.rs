//! File descriptors and body memory: one budget each, shared by client and machine connections.
//!
//! A resource is counted when it is taken and returned to its budget when its guard is dropped.

use crate::net::with_timeout;
use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Adds one to a counter for as long as it lives.
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// Increments `count` until the guard is dropped.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A descriptor taken from the budget. Dropping it wakes a task that waits for one.
pub struct Descriptor {
    guard: Option<CountGuard>,
    released: Sender<()>,
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.guard = None;
        let _ = self.released.try_send(());
    }
}

/// The descriptors that client and machine connections share.
///
/// Each side has a limit, and both together have a total. With two fixed halves, one side runs out while the other
/// has descriptors to spare; without limits, a burst of clients leaves no connection to a machine on which to serve them.
pub struct DescriptorBudget {
    total: usize,
    max_clients: usize,
    max_machines: usize,
    clients: Rc<Cell<usize>>,
    machines: Rc<Cell<usize>>,
    released: (Sender<()>, Receiver<()>),
    /// Idle client connections: those that have sent nothing yet, and those between two requests.
    idle: [ClosableGroup; 2],
    /// Client connections that have got their last answer and are read until the client closes them.
    closing: ClosableGroup,
    /// Client connections of which half a request was read, some time ago.
    half_read: ClosableGroup,
}

/// Connections of one group that can be closed, the longest closable first.
struct ClosableGroup {
    closable: Rc<Cell<usize>>,
    close_request: (Sender<()>, Receiver<()>),
}

impl ClosableGroup {
    fn new() -> Self {
        Self { closable: Rc::default(), close_request: async_channel::bounded(1) }
    }

    /// Counts a connection as closable and waits until it is requested to close.
    async fn close_requested(&self) {
        let _closable = CountGuard::new(&self.closable);
        let _ = self.close_request.1.recv().await;
    }
}

impl DescriptorBudget {
    /// Creates a budget of `total` descriptors. Refusing a request takes only the client's descriptor, so the client side
    /// has the higher limit.
    pub fn new(total: usize) -> Rc<Self> {
        let total = total.max(10);
        Rc::new(Self {
            total,
            max_clients: total * 7 / 10,
            max_machines: total * 4 / 10,
            clients: Rc::default(),
            machines: Rc::default(),
            released: async_channel::bounded(1),
            idle: [ClosableGroup::new(), ClosableGroup::new()],
            closing: ClosableGroup::new(),
            half_read: ClosableGroup::new(),
        })
    }

    /// Returns how many descriptors client connections and machine connections hold.
    pub fn in_use(&self) -> (usize, usize) {
        (self.clients.get(), self.machines.get())
    }

    /// Returns the limits of client connections and of machine connections.
    pub fn limits(&self) -> (usize, usize) {
        (self.max_clients, self.max_machines)
    }

    fn used(&self) -> usize {
        self.clients.get() + self.machines.get()
    }

    /// Returns whether all descriptors are in use.
    pub fn is_full(&self) -> bool {
        self.used() >= self.total
    }

    /// Returns whether idle client connections should be closed. This holds before new connections have to wait and
    /// before the clients reach their own limit. Clients can hold a third of a front's descriptors: where some send one
    /// request and keep their connections open, no descriptor is left on which the others can send theirs.
    pub fn is_running_low(&self) -> bool {
        self.clients.get() >= self.total * 3 / 10 || self.used() >= self.total * 19 / 20
    }

    fn take(&self, count: &Rc<Cell<usize>>) -> Descriptor {
        Descriptor { guard: Some(CountGuard::new(count)), released: self.released.0.clone() }
    }

    /// Returns whether one more client connection may be accepted.
    pub fn can_accept_client(&self) -> bool {
        self.clients.get() < self.max_clients && !self.is_full()
    }

    /// Takes a descriptor for an accepted client connection.
    pub fn take_for_client(&self) -> Descriptor {
        self.take(&self.clients)
    }

    /// Takes a descriptor for a connection to a machine, if one is left.
    pub fn take_for_machine(&self) -> Option<Descriptor> {
        let fits = self.machines.get() < self.max_machines && !self.is_full();
        fits.then(|| self.take(&self.machines))
    }

    /// Waits until a descriptor has been released.
    pub async fn wait_for_release(&self) {
        let _ = self.released.1.recv().await;
    }

    /// Requests that one client connection of each group closes, the longest closable first.
    pub fn request_idle_close(&self) {
        for group in self.groups().filter(|g| g.closable.get() > 0) {
            let _ = group.close_request.0.try_send(());
        }
    }

    /// Requests that one client connection with half a request closes, the longest closable first, unless one of another
    /// group can be closed instead.
    pub fn request_half_read_close(&self) {
        if self.groups().all(|g| g.closable.get() == 0) && self.half_read.closable.get() > 0 {
            let _ = self.half_read.close_request.0.try_send(());
        }
    }

    /// Withdraws a request to close a connection with half a request, if none has received it yet.
    pub fn clear_half_read_close(&self) {
        let _ = self.half_read.close_request.1.try_recv();
    }

    /// Marks a connection as one whose request stops half way and waits until it is requested to close.
    pub async fn half_read_close_requested(&self) {
        self.half_read.close_requested().await;
    }

    /// The groups whose connections may be closed while descriptors run low, before new connections have to wait.
    fn groups(&self) -> impl Iterator<Item = &ClosableGroup> {
        self.idle.iter().chain([&self.closing])
    }

    /// Marks an idle connection as closable and waits until it is requested to close. `fresh` says that it has sent nothing
    /// yet.
    pub async fn idle_close_requested(&self, fresh: bool) {
        self.idle[usize::from(!fresh)].close_requested().await;
    }

    /// Marks a connection as one that has got its last answer and waits until it is requested to close at once.
    pub async fn prompt_close_requested(&self) {
        self.closing.close_requested().await;
    }

    /// Withdraws close requests that no connection has received yet.
    pub fn clear_close_requests(&self) {
        for group in self.groups() {
            let _ = group.close_request.1.try_recv();
        }
    }
}

/// Memory for large bodies of requests or of answers, reserved before a body is read and released when the reservation is
/// dropped.
///
/// Each body is bounded by itself, but a few hundred of them together exceed the memory of a small front.
pub struct BodyMemory {
    available: Rc<Cell<usize>>,
    released: (Sender<()>, Receiver<()>),
}

/// Bytes reserved from a [`BodyMemory`]. Dropping them wakes a task that waits for some.
pub struct BodyReservation {
    available: Rc<Cell<usize>>,
    released: Sender<()>,
    size: usize,
}

/// Largest body for which no memory is reserved.
pub const UNRESERVED_BODY_BYTES: usize = 4 * 1024;
/// Longest pause between two attempts to reserve memory: a release may wake one that needs more than there is, while
/// another would need less.
const RESERVE_INTERVAL: Duration = Duration::from_millis(100);

impl BodyMemory {
    /// Creates a budget of `size` bytes.
    pub fn new(size: usize) -> Self {
        Self { available: Rc::new(Cell::new(size)), released: async_channel::bounded(1) }
    }

    /// Reserves `size` bytes, if that many are available.
    pub fn reserve(&self, size: usize) -> Option<BodyReservation> {
        let rest = self.available.get().checked_sub(size)?;
        self.available.set(rest);
        let (available, released) = (Rc::clone(&self.available), self.released.0.clone());
        Some(BodyReservation { available, released, size })
    }

    /// Reserves `size` bytes as soon as that many are available.
    pub async fn reserve_when_available(&self, size: usize) -> BodyReservation {
        loop {
            if let Some(reservation) = self.reserve(size) {
                if self.available.get() > 0 {
                    // What is left may suffice for the next one that waits.
                    let _ = self.released.0.try_send(());
                }
                return reservation;
            }
            with_timeout(RESERVE_INTERVAL, self.released.1.recv()).await;
        }
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.available.set(self.available.get() + self.size);
        let _ = self.released.try_send(());
    }
}
