//! Descriptors: one budget for both sides, counted as they are taken and given back.

use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;

/// Counts its holder for as long as it lives.
pub struct Counted(Rc<Cell<usize>>);

impl Counted {
    /// Counts one more.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A descriptor held; its end is told to whoever waits for one.
pub struct Place {
    counted: Option<Counted>,
    freed: Sender<()>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.counted = None;
        let _ = self.freed.try_send(());
    }
}

/// The budget. Danger: with fixed halves one side runs out while the other has plenty; with none a rush of
/// clients leaves no connection on which to serve them. So each side has a most, and both have a sum.
pub struct Places {
    total: usize,
    most_clients: usize,
    most_machines: usize,
    clients: Rc<Cell<usize>>,
    machines: Rc<Cell<usize>>,
    freed: (Sender<()>, Receiver<()>),
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

impl Places {
    /// A budget of `total` descriptors. Refusals need a client's place only, so there are more of those.
    pub fn new(total: usize) -> Rc<Self> {
        let total = total.max(10);
        Rc::new(Self {
            total,
            most_clients: total * 7 / 10,
            most_machines: total * 4 / 10,
            clients: Rc::default(),
            machines: Rc::default(),
            freed: async_channel::bounded(1),
            yields: [Yields::new(), Yields::new()],
        })
    }

    /// Client and machine connections now held.
    pub fn held(&self) -> (usize, usize) {
        (self.clients.get(), self.machines.get())
    }

    /// The most of each.
    pub fn most(&self) -> (usize, usize) {
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
    pub fn is_short(&self) -> bool {
        self.clients.get() >= self.total * 3 / 10 || self.used() >= self.total * 19 / 20
    }

    fn place(&self, count: &Rc<Cell<usize>>) -> Place {
        Place { counted: Some(Counted::new(count)), freed: self.freed.0.clone() }
    }

    /// Whether one more client connection may be accepted.
    pub fn client_fits(&self) -> bool {
        self.clients.get() < self.most_clients && !self.is_full()
    }

    /// A place for a client connection that was accepted.
    pub fn client(&self) -> Place {
        self.place(&self.clients)
    }

    /// A place for a connection to a machine, if there is one.
    pub fn machine(&self) -> Option<Place> {
        let fits = self.machines.get() < self.most_machines && !self.is_full();
        fits.then(|| self.place(&self.machines))
    }

    /// Waits until some place has been given back.
    pub async fn freed(&self) {
        let _ = self.freed.1.recv().await;
    }

    /// Asks one client connection of each sort to end that is ready to, the longest idle first.
    pub fn ask_to_yield(&self) {
        for yields in self.yields.iter().filter(|y| y.ready.get() > 0) {
            let _ = yields.ask.0.try_send(());
        }
    }

    /// Ready to end from now on, waits until asked to; `fresh` says that this connection has brought nothing yet.
    pub async fn asked_to_yield(&self, fresh: bool) {
        let yields = &self.yields[usize::from(!fresh)];
        let _ready = Counted::new(&yields.ready);
        let _ = yields.ask.1.recv().await;
    }

    /// Takes back what was asked.
    pub fn at_ease(&self) {
        for yields in &self.yields {
            let _ = yields.ask.1.try_recv();
        }
    }
}

/// Memory for large bodies, taken before they are read and given back by dropping the room. Danger: bodies are
/// bounded one by one, but a few hundred of them together are more than a small front has.
pub struct Store {
    left: Rc<Cell<usize>>,
}

/// Bytes held in a store.
pub struct Room {
    left: Rc<Cell<usize>>,
    size: usize,
}

impl Store {
    /// A store of `size` bytes.
    pub fn new(size: usize) -> Self {
        Self { left: Rc::new(Cell::new(size)) }
    }

    /// Room for `size` bytes, if there is some.
    pub fn take(&self, size: usize) -> Option<Room> {
        let rest = self.left.get().checked_sub(size)?;
        self.left.set(rest);
        Some(Room { left: Rc::clone(&self.left), size })
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.left.set(self.left.get() + self.size);
    }
}
