//! Bounds on the resources of a front: descriptors, memory for bodies, timers and log lines.

use async_executor::LocalExecutor;
use std::io::Write;
use std::rc::Rc;
use std::sync::mpsc::sync_channel;
use yarrowspoke_front::classify::Classifier;
use yarrowspoke_front::config;
use yarrowspoke_front::descriptor_budget::{BodyMemory, DescriptorBudget};
use yarrowspoke_front::driver::{Driver, RemoteServices};
use yarrowspoke_front::event_bus::EventBus;
use yarrowspoke_front::exchange::Call;
use yarrowspoke_front::input::Input;
use yarrowspoke_front::ledger_writer::LedgerWriter;
use yarrowspoke_front::logging::RateLimitedWriter;
use yarrowspoke_front::net::list::Discovery;
use yarrowspoke_front::net::machines::Machines;

#[test]
fn body_memory_is_bounded_and_released_when_a_reservation_is_dropped() {
    let body_memory = BodyMemory::new(100);
    let first = body_memory.reserve(60);
    assert!(first.is_some() && body_memory.reserve(41).is_none());
    assert!(body_memory.reserve(40).is_some());
    drop(first);
    assert!(body_memory.reserve(100).is_some());
}

#[test]
fn one_idle_connection_of_each_group_closes_the_longest_idle_first() {
    use futures_lite::future::{block_on, poll_once};
    let descriptors = DescriptorBudget::new(100);
    let mut idle: Vec<_> = [false, false, true]
        .map(|fresh| Box::pin(descriptors.idle_close_requested(fresh)))
        .into_iter()
        .collect();
    let mut closed = || -> Vec<bool> { idle.iter_mut().map(|i| block_on(poll_once(i)).is_some()).collect() };
    assert_eq!(closed(), [false, false, false]);
    descriptors.request_idle_close();
    assert_eq!(closed(), [true, false, true]);
}

#[test]
fn each_side_has_a_limit_and_both_share_a_total() {
    let descriptors = DescriptorBudget::new(100);
    let mut clients: Vec<_> =
        std::iter::from_fn(|| descriptors.can_accept_client().then(|| descriptors.take_for_client()))
            .collect();
    assert_eq!((clients.len(), descriptors.is_running_low()), (70, true));
    clients.truncate(29);
    assert!(!descriptors.is_running_low());
    clients.push(descriptors.take_for_client());
    assert!(descriptors.is_running_low());
    clients.extend((30..70).map(|_| descriptors.take_for_client()));
    let machines: Vec<_> = std::iter::from_fn(|| descriptors.take_for_machine()).collect();
    assert_eq!(machines.len(), 30);
    assert!(descriptors.is_full());
    clients.truncate(50);
    let more: Vec<_> = std::iter::from_fn(|| descriptors.take_for_machine()).collect();
    assert_eq!((more.len(), descriptors.in_use()), (10, (50, 40)));
    drop((clients, machines, more));
    assert_eq!(descriptors.in_use(), (0, 0));
}

#[test]
fn a_finished_request_leaves_no_timer() {
    // Clients may state a budget of an hour. Anything kept that long for each finished request accumulates without bound.
    let config = config::parse(include_bytes!("../../../examples/config.json")).unwrap();
    let descriptors = DescriptorBudget::new(100);
    let (event_bus, _inputs) = EventBus::new(
        &config.settings,
        Rc::clone(&descriptors),
        0,
        Classifier::new(1),
        LedgerWriter::default(),
        None,
    );
    let outside = RemoteServices {
        executor: Rc::new(LocalExecutor::new()),
        machines: Machines::new(descriptors, config.settings.transport, 0),
        discovery: Discovery::new(config.discovery, config.settings.names.clone(), 0, 0),
        platform: None,
        peers: None,
    };
    let mut driver = Driver::start(1, config.settings, (0, Vec::new()), None, Rc::clone(&event_bus), outside);
    let before = driver.open_requests_and_timers().1;
    for n in 0..100 {
        let call = Call {
            method: "GET".into(),
            target: "/article".into(),
            call_id: n.to_string(),
            idempotency_key: None,
            class: 0,
            tenant: 0,
            budget: 3_600_000_000,
            key: 0,
            work_hint: None,
            is_retry: false,
            policy: Default::default(),
            body: Vec::new(),
        };
        let exchange = event_bus.open_exchange(call, 0);
        driver.handle_input(Input::Arrived(Rc::clone(&exchange)));
        if exchange.abandon() {
            driver.handle_input(Input::ClientLeft(exchange.id));
        }
    }
    assert_eq!(driver.open_requests_and_timers(), (0, before));
}

#[test]
fn excess_log_lines_are_dropped_and_a_blocked_writer_never_blocks_the_front() {
    // Nothing reads the queue, so a writer that blocks would hang here.
    let (lines, queue) = sync_channel(2);
    let mut writer = RateLimitedWriter::new(lines, 5.0);
    for _ in 0..10_000 {
        assert_eq!(writer.write(b"line\n").unwrap(), 5);
    }
    assert_eq!(queue.try_iter().count(), 2);
    assert!(writer.dropped() > 9_000);
}
