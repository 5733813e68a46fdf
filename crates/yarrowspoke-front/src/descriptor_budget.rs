//! Descriptors: one budget for both sides, counted as they are taken and given back.

use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;

/// Counts its holder for as long as it lives.
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// Counts one more.
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

/// A descriptor held; its end is told to whoever waits for one.
pub struct Descriptor {
    counted: Option<CountGuard>,
    wait_for_release: Sender<()>,
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.counted = None;
        let _ = self.wait_for_release.try_send(());
    }
}

/// The budget. Danger: with fixed halves one side runs out while the other has plenty; with none a rush of
/// clients leaves no connection on which to serve them. So each side has a most, and both have a sum.
pub struct DescriptorBudget {
    total: usize,
    most_clients: usize,
    most_machines: usize,
    clients: Rc<Cell<usize>>,
    machines: Rc<Cell<usize>>,
    wait_for_release: (Sender<()>, Receiver<()>),
    /// Connections that have brought nothing yet, and those between two requests.
    yields: [Yields; 2],
}

/// Connections of one sort that are ready to end, the longest idle first.
struct Yields {
    ready: Rc<Cell<usize>>,
    ask: (Sender<()>, Receiver<()>),
}

impl Yields {
    fn new() -> Self {
        Self { ready: Rc::default(), ask: async_channel::bounded(1) }
    }
}

impl DescriptorBudget {
    /// A budget of `total` descriptors. Refusals need a client's place only, so there are more of those.
    pub fn new(total: usize) -> Rc<Self> {
        let total = total.max(10);
        Rc::new(Self {
            total,
            most_clients: total * 7 / 10,
            most_machines: total * 4 / 10,
            clients: Rc::default(),
            machines: Rc::default(),
            wait_for_release: async_channel::bounded(1),
            yields: [Yields::new(), Yields::new()],
        })
    }

    /// Client and machine connections now held.
    pub fn in_use(&self) -> (usize, usize) {
        (self.clients.get(), self.machines.get())
    }

    /// The most of each.
    pub fn limits(&self) -> (usize, usize) {
        (self.most_clients, self.most_machines)
    }

    fn used(&self) -> usize {
        self.clients.get() + self.machines.get()
    }

    /// Whether everything is in use.
    pub fn is_full(&self) -> bool {
        self.used() >= self.total
    }

    /// Whether idle client connections should yield: before new ones must wait, and before clients run out of
    /// those that they may hold. Danger: clients may hold a third of a front's descriptors, and where some ask
    /// once and keep theirs, the others find none left on which to ask.
    pub fn is_running_low(&self) -> bool {
        self.clients.get() >= self.total * 3 / 10 || self.used() >= self.total * 19 / 20
    }

    fn place(&self, count: &Rc<Cell<usize>>) -> Descriptor {
        Descriptor {
            counted: Some(CountGuard::new(count)),
            wait_for_release: self.wait_for_release.0.clone(),
        }
    }

    /// Whether one more client connection may be accepted.
    pub fn can_accept_client(&self) -> bool {
        self.clients.get() < self.most_clients && !self.is_full()
    }

    /// A place for a client connection that was accepted.
    pub fn take_for_client(&self) -> Descriptor {
        self.place(&self.clients)
    }

    /// A place for a connection to a machine, if there is one.
    pub fn take_for_machine(&self) -> Option<Descriptor> {
        let fits = self.machines.get() < self.most_machines && !self.is_full();
        fits.then(|| self.place(&self.machines))
    }

    /// Waits until some place has been given back.
    pub async fn wait_for_release(&self) {
        let _ = self.wait_for_release.1.recv().await;
    }

    /// Asks one client connection of each sort to end that is ready to, the longest idle first.
    pub fn request_idle_close(&self) {
        for yields in self.yields.iter().filter(|y| y.ready.get() > 0) {
            let _ = yields.ask.0.try_send(());
        }
    }

    /// Ready to end from now on, waits until asked to; `fresh` says that this connection has brought nothing yet.
    pub async fn idle_close_requested(&self, fresh: bool) {
        let yields = &self.yields[usize::from(!fresh)];
        let _ready = CountGuard::new(&yields.ready);
        let _ = yields.ask.1.recv().await;
    }

    /// Takes back what was asked.
    pub fn clear_close_requests(&self) {
        for yields in &self.yields {
            let _ = yields.ask.1.try_recv();
        }
    }
}

/// Memory for large bodies, taken before they are read and given back by dropping the room. Danger: bodies are
/// bounded one by one, but a few hundred of them together are more than a small front has.
pub struct BodyMemory {
    left: Rc<Cell<usize>>,
}

/// Bytes held in a store.
pub struct BodyReservation {
    left: Rc<Cell<usize>>,
    size: usize,
}

impl BodyMemory {
    /// A store of `size` bytes.
    pub fn new(size: usize) -> Self {
        Self { left: Rc::new(Cell::new(size)) }
    }

    /// Room for `size` bytes, if there is some.
    pub fn reserve(&self, size: usize) -> Option<BodyReservation> {
        let rest = self.left.get().checked_sub(size)?;
        self.left.set(rest);
        Some(BodyReservation { left: Rc::clone(&self.left), size })
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.left.set(self.left.get() + self.size);
    }
}
