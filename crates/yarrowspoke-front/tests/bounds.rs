//! What a front holds is bounded: descriptors, memory for bodies, timers and lines of the log.

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
fn a_store_gives_no_more_than_it_has_and_takes_back_what_is_dropped() {
    let store = BodyMemory::new(100);
    let first = store.reserve(60);
    assert!(first.is_some() && store.reserve(41).is_none());
    assert!(store.reserve(40).is_some());
    drop(first);
    assert!(store.reserve(100).is_some());
}

#[test]
fn one_of_each_sort_yields_the_longest_idle_first() {
    use futures_lite::future::{block_on, poll_once};
    let places = DescriptorBudget::new(100);
    let mut idle: Vec<_> =
        [false, false, true].map(|fresh| Box::pin(places.idle_close_requested(fresh))).into_iter().collect();
    let mut ended = || -> Vec<bool> { idle.iter_mut().map(|i| block_on(poll_once(i)).is_some()).collect() };
    assert_eq!(ended(), [false, false, false]);
    places.request_idle_close();
    assert_eq!(ended(), [true, false, true]);
}

#[test]
fn each_side_has_a_most_and_both_have_a_sum() {
    let places = DescriptorBudget::new(100);
    let mut clients: Vec<_> =
        std::iter::from_fn(|| places.can_accept_client().then(|| places.take_for_client())).collect();
    assert_eq!((clients.len(), places.is_running_low()), (70, true));
    clients.truncate(29);
    assert!(!places.is_running_low());
    clients.push(places.take_for_client());
    assert!(places.is_running_low());
    clients.extend((30..70).map(|_| places.take_for_client()));
    let machines: Vec<_> = std::iter::from_fn(|| places.take_for_machine()).collect();
    assert_eq!(machines.len(), 30);
    assert!(places.is_full());
    clients.truncate(50);
    let more: Vec<_> = std::iter::from_fn(|| places.take_for_machine()).collect();
    assert_eq!((more.len(), places.in_use()), (10, (50, 40)));
    drop((clients, machines, more));
    assert_eq!(places.in_use(), (0, 0));
}

#[test]
fn a_request_that_has_ended_leaves_no_timer_behind() {
    // Danger: clients may say that they wait for an hour; what is kept so long for each is never given back.
    let config = config::parse(include_bytes!("../../../examples/config.json")).unwrap();
    let places = DescriptorBudget::new(100);
    let (hub, _inputs) = EventBus::new(
        &config.settings,
        Rc::clone(&places),
        0,
        Classifier::new(1),
        LedgerWriter::default(),
        None,
    );
    let outside = RemoteServices {
        executor: Rc::new(LocalExecutor::new()),
        machines: Machines::new(places, config.settings.transport),
        discovery: Discovery::new(config.discovery, config.settings.names.clone(), 0, 0),
        platform: None,
        peers: None,
    };
    let mut driver = Driver::start(1, config.settings, (0, Vec::new()), None, Rc::clone(&hub), outside);
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
        let exchange = hub.open_exchange(call, 0);
        driver.handle_input(Input::Arrived(Rc::clone(&exchange)));
        if exchange.abandon() {
            driver.handle_input(Input::ClientLeft(exchange.id));
        }
    }
    assert_eq!(driver.open_requests_and_timers(), (0, before));
}

#[test]
fn a_flood_is_cut_and_a_stuck_writer_never_blocks() {
    // Nobody reads: a blocking gate would hang here.
    let (lines, queue) = sync_channel(2);
    let mut gate = RateLimitedWriter::new(lines, 5.0);
    for _ in 0..10_000 {
        assert_eq!(gate.write(b"line\n").unwrap(), 5);
    }
    assert_eq!(queue.try_iter().count(), 2);
    assert!(gate.dropped() > 9_000);
}
