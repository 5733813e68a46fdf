//! How long a list may be used: by which evidence, for how long, and what happens without any.

mod common;
use common::*;
use proptest::prelude::*;
use yarrowspoke::interface::*;
use yarrowspoke::membership::message::{
    fingerprint, Confirmation, Message, Standing, Subscription, MAX_CONFIRMATIONS,
};

/// Settings of front `front_id` of `fronts` that uses sockets, where an open subscription confirms the list
/// periodically.
fn subscribed_settings(front_id: u32, fronts: u32, allows_peer_messages: bool) -> Settings {
    Settings { front_id, fronts, allows_peer_messages, pulls_list: true, list_heartbeats: true, ..settings() }
}

/// Ticks for `span` without requests.
fn wait(rig: &mut Rig, span: Micros) {
    let until = rig.now + span;
    while rig.now < until {
        rig.now += 50 * MS;
        rig.tick();
    }
}

/// Ticks until the front calls discovery.
fn wait_for_call(rig: &mut Rig) {
    let until = rig.now + 60 * S;
    loop {
        wait(rig, 50 * MS);
        if rig.did.contains(&Action::Subscribe(true)) {
            return;
        }
        assert!(rig.now < until, "no call");
    }
}

/// Hands in a request and returns the machine that it is sent to, if any. The machine responds at once with
/// `response`, if given.
fn send_request(rig: &mut Rig, response: Option<CallOutcome>) -> Option<MachineId> {
    let id = rig.request(0);
    let (_, machine) = rig.sent()?;
    if let Some(outcome) = response {
        rig.end(id, 0, machine, outcome);
    }
    Some(machine)
}

#[test]
fn unconfirmed_list_expires_before_the_change_deadline() {
    let mut rig = Rig::new(subscribed_settings(0, 2, false), 3);
    rig.list(ListUpdate::Delta, &[]);
    wait(&mut rig, 5_900 * MS);
    assert!(send_request(&mut rig, None).is_some());
    wait(&mut rig, 150 * MS);
    assert_eq!(send_request(&mut rig, None), None);
    // A request that waits for a machine soon gets a final answer.
    let mut finals = 0;
    for _ in 0..10 {
        rig.now += 50 * MS;
        rig.tick();
        finals += rig.finals();
    }
    assert_eq!(finals, 1);
    rig.list(ListUpdate::Delta, &[]);
    assert!(send_request(&mut rig, None).is_some());
}

#[test]
fn a_lease_counts_from_when_discovery_looked_and_not_from_when_its_response_was_read() {
    // Guards against a response that waited unread, as in a suspended process, and says nothing of the time since.
    let mut rig = Rig::new(subscribed_settings(0, 2, false), 3);
    let as_of = rig.now - S;
    rig.say(Event::List { kind: ListUpdate::Delta, version: 0, as_of, entries: &[] });
    wait(&mut rig, 4_950 * MS);
    assert!(send_request(&mut rig, None).is_some());
    wait(&mut rig, 50 * MS);
    assert_eq!(send_request(&mut rig, None), None);
}

#[test]
fn a_front_whose_first_call_fails_calls_once_more_before_its_lease_ends() {
    // Guards against a short outage after which discovery is up, and not called, while the lease ends.
    let mut rig = Rig::new(subscribed_settings(0, 3, false), 3);
    rig.list(ListUpdate::Delta, &[]);
    let lease_began_at = rig.now;
    for _ in 0..2 {
        rig.list(ListUpdate::Failed, &[]);
        wait_for_call(&mut rig);
    }
    assert!(rig.now <= lease_began_at + 5 * S + 50 * MS, "{} us", rig.now - lease_began_at);
}

#[test]
fn a_front_calls_once_more_before_its_lease_ends_also_after_discovery_has_moved() {
    // Guards against a call spent at an address that discovery has left, for want of which the lease ends at the new one.
    let mut rig = Rig::with_seed(1, subscribed_settings(9, 10, false), 3);
    rig.list(ListUpdate::Delta, &[]);
    let lease_began_at = rig.now;
    rig.list(ListUpdate::Failed, &[]);
    wait_for_call(&mut rig);
    let moved_at = rig.now;
    assert!(moved_at < lease_began_at + 2_500 * MS, "{} us", moved_at - lease_began_at);
    rig.move_discovery(2);
    for _ in 0..2 {
        wait_for_call(&mut rig);
        rig.list(ListUpdate::Failed, &[]);
    }
    assert!(rig.now <= moved_at + 3 * S + 50 * MS, "{} us", rig.now - moved_at);
}

#[test]
fn a_single_front_assumes_an_outage_only_from_the_calls_that_it_made() {
    // Guards against a failed call that counts for longer than its own time: while the next call hangs, discovery may be
    // back and have changes.
    let mut rig = Rig::new(subscribed_settings(0, 1, false), 3);
    rig.list(ListUpdate::Delta, &[]);
    rig.list(ListUpdate::Failed, &[]);
    wait_for_call(&mut rig);
    let called_at = rig.now;
    rig.list(ListUpdate::Failed, &[]);
    assert!(send_request(&mut rig, None).is_some());
    while rig.now < called_at + 5_950 * MS {
        wait(&mut rig, 50 * MS);
        assert!(send_request(&mut rig, Some(CallOutcome::Ok)).is_some(), "{} us", rig.now - called_at);
    }
    wait(&mut rig, 100 * MS);
    assert_eq!(send_request(&mut rig, None), None);
}

#[test]
fn a_machine_of_which_lists_say_nothing_that_could_be_decoded_gets_nothing_once_its_lease_ends() {
    // Guards against a drain that cannot be decoded and, with the rest of the list, counts as a confirmation.
    let mut rig = Rig::new(subscribed_settings(0, 2, true), 2);
    rig.list(ListUpdate::Delta, &[]);
    let lease_ends_at = rig.now + 6 * S;
    for second in 1..6 {
        wait(&mut rig, S);
        rig.say(Event::UndecodedMachines(&[0]));
        rig.list(ListUpdate::Delta, &[]);
        // Other fronts are told of it with the age of what was decoded last.
        let mut ages: Vec<_> = query_list(&mut rig).confirmations.iter().map(|c| c.age).collect();
        ages.sort_unstable();
        assert_eq!(ages, [0, second * S]);
    }
    let gets_any = |rig: &mut Rig| (0..20).any(|_| send_request(rig, Some(CallOutcome::Ok)) == Some(0));
    let remaining = lease_ends_at - rig.now;
    wait(&mut rig, remaining - 50 * MS);
    assert!(gets_any(&mut rig));
    wait(&mut rig, 50 * MS);
    assert!(!gets_any(&mut rig));
    assert_eq!(send_request(&mut rig, Some(CallOutcome::Ok)), Some(1));
    rig.list(ListUpdate::Delta, &[entry(0, 1, 0)]);
    assert!(gets_any(&mut rig));
}

#[test]
fn cached_list_expires_before_the_drain_grace() {
    let mut rig = Rig::new(subscribed_settings(0, 2, false), 3);
    assert!(send_request(&mut rig, None).is_some());
    wait(&mut rig, 450 * MS);
    assert_eq!(send_request(&mut rig, None), None);
}

#[test]
fn machine_response_does_not_renew_its_lease() {
    // Guards against taking a response as proof of identity: another process under an old name responds just as well
    // before discovery has reported that the listed one is gone. In a thundering herd of 300 fronts such
    // responses kept fronts sending for seconds.
    let mut rig = Rig::new(subscribed_settings(0, 2, false), 1);
    rig.list(ListUpdate::Delta, &[]);
    for _ in 0..11 {
        wait(&mut rig, 500 * MS);
        assert!(send_request(&mut rig, Some(CallOutcome::Ok)).is_some());
    }
    wait(&mut rig, 550 * MS);
    assert_eq!(send_request(&mut rig, None), None);
}

#[test]
fn planner_restriction_neither_confirms_the_list_nor_stops_calls_for_it() {
    let mut rig = Rig::new(subscribed_settings(0, 2, false), 3);
    rig.list(ListUpdate::Failed, &[]);
    rig.list(ListUpdate::Restricted, &[MachineEntry { state: MachineState::Draining, ..entry(0, 1, 0) }]);
    let mut calls = 0;
    for _ in 0..400 {
        rig.now += 50 * MS;
        rig.tick();
        calls += usize::from(rig.did.contains(&Action::Subscribe(true)));
    }
    assert!(calls >= 1);
    assert_eq!(send_request(&mut rig, None), None);
}

#[test]
fn list_expires_sooner_after_a_move_and_at_once_after_an_unreadable_response() {
    let mut rig = Rig::new(subscribed_settings(0, 2, false), 3);
    rig.list(ListUpdate::Delta, &[]);
    rig.move_discovery(2);
    wait(&mut rig, 3_950 * MS);
    assert!(send_request(&mut rig, None).is_some());
    wait(&mut rig, 100 * MS);
    assert_eq!(send_request(&mut rig, None), None);
    rig.list(ListUpdate::Delta, &[]);
    rig.list(ListUpdate::Unreadable, &[]);
    assert_eq!(send_request(&mut rig, None), None);
}

#[test]
fn single_front_keeps_sending_when_discovery_is_silent_but_not_when_unreadable() {
    for (kind, keeps_sending) in [(ListUpdate::Failed, true), (ListUpdate::Unreadable, false)] {
        let mut rig = Rig::new(subscribed_settings(0, 1, false), 3);
        rig.list(ListUpdate::Delta, &[]);
        rig.list(kind, &[]);
        for _ in 0..20 {
            wait_for_call(&mut rig);
            rig.list(kind, &[]);
            wait(&mut rig, S);
            assert_eq!(send_request(&mut rig, Some(CallOutcome::Ok)).is_some(), keeps_sending, "{kind:?}");
        }
    }
}

#[test]
fn a_front_whose_slot_comes_too_late_calls_once_before_its_lease_ends() {
    // Guards against a lease that ends unrenewed while discovery is up, after one call was turned away.
    for front_id in 0..10 {
        let mut rig = Rig::new(subscribed_settings(front_id, 10, false), 3);
        rig.list(ListUpdate::Delta, &[]);
        let lease_began_at = rig.now;
        wait(&mut rig, S);
        rig.list(ListUpdate::Failed, &[]);
        wait_for_call(&mut rig);
        assert!(
            rig.now <= lease_began_at + 5 * S + 50 * MS,
            "front {front_id}: {} us",
            rig.now - lease_began_at
        );
        // A call that fails as well is not repeated before the front's slot.
        let called_at = rig.now;
        rig.list(ListUpdate::Failed, &[]);
        wait_for_call(&mut rig);
        assert!(rig.now >= called_at + S, "front {front_id}");
    }
}

/// Settings of a front on whose list changes count whether or not a subscription is open.
fn pushed_settings(front_id: u32, fronts: u32) -> Settings {
    Settings { list_counts_unsubscribed: true, ..subscribed_settings(front_id, fronts, false) }
}

/// Lets the subscription end and calls fail at once for `span`; returns the number of calls and the longest time without one.
fn calls_that_fail_at_once(rig: &mut Rig, span: Micros) -> (u64, Micros) {
    rig.list(ListUpdate::Delta, &[]);
    let (begun, mut last, mut longest, mut calls) = (rig.now, rig.now, 0, 0);
    rig.list(ListUpdate::Failed, &[]);
    while rig.now < begun + span {
        rig.now += 10 * MS;
        rig.tick();
        if rig.did.contains(&Action::Subscribe(true)) {
            (calls, longest, last) = (calls + 1, longest.max(rig.now - last), rig.now);
            rig.list(ListUpdate::Failed, &[]);
        }
    }
    (calls, longest.max(rig.now - last))
}

#[test]
fn where_changes_count_unsubscribed_failed_calls_are_repeated_within_the_drain_grace() {
    // Guards against sends to machines that drained during an outage of discovery, seconds after its return.
    for front_id in 0..3 {
        let mut rig = Rig::new(pushed_settings(front_id, 3), 3);
        let (_, longest) = calls_that_fail_at_once(&mut rig, 5 * S);
        assert!(longest <= 200 * MS, "front {front_id}: {longest} us without a call");
    }
}

#[test]
fn prompt_calls_of_all_fronts_together_are_bounded() {
    // Guards against a herd at a discovery that is down or turns calls away.
    for fronts in [1, 3, 20, 40, 41, 100, 300] {
        let calls: u64 = (0..10)
            .map(|n| {
                calls_that_fail_at_once(&mut Rig::new(pushed_settings(n * fronts / 10, fronts), 3), 30 * S).0
            })
            .sum();
        let of_all = calls as f64 / 10.0 * f64::from(fronts) / 30.0;
        assert!(of_all < 40.0, "{fronts} fronts: {of_all} calls a second");
    }
}

#[test]
fn a_call_on_which_discovery_has_worked_is_not_repeated_promptly() {
    // Guards against calls that arrive faster than a busy discovery serves them.
    let mut rig = Rig::new(pushed_settings(1, 3), 3);
    rig.list(ListUpdate::Delta, &[]);
    rig.list(ListUpdate::Failed, &[]);
    wait_for_call(&mut rig);
    wait(&mut rig, S);
    let failed_at = rig.now;
    rig.list(ListUpdate::Failed, &[]);
    wait_for_call(&mut rig);
    assert!(rig.now >= failed_at + S, "{} us", rig.now - failed_at);
}

/// Returns the queries that the front sent on the last event.
fn sent_queries(rig: &Rig) -> Vec<(u16, u32)> {
    let query = |a: &Action| match a {
        Action::SendToPeer { peer: Some(peer), bytes } => match Message::decode(bytes) {
            Ok(Message::Query { nonce, .. }) => Some((*peer, nonce)),
            _ => None,
        },
        _ => None,
    };
    rig.did.iter().filter_map(query).collect()
}

/// Waits until the front queries other fronts.
fn wait_for_queries(rig: &mut Rig) -> Vec<(u16, u32)> {
    for _ in 0..100 {
        rig.now += 50 * MS;
        rig.tick();
        let queries = sent_queries(rig);
        if !queries.is_empty() {
            return queries;
        }
    }
    panic!("no query in 5 s");
}

fn send_answer(rig: &mut Rig, from: u16, nonce: u32, standing: Standing, confirmations: Vec<Confirmation>) {
    let bytes = Message::Answer {
        nonce,
        standing,
        subscription: Subscription::Missing,
        discovery_id: 0,
        version: 0,
        confirmations,
    }
    .encode();
    rig.say(Event::PeerMessage { from: from.into(), bytes: &bytes });
}

/// A front's answer to a query about the list.
struct ListAnswer {
    standing: Standing,
    discovery_id: DiscoveryId,
    version: u64,
    confirmations: Vec<Confirmation>,
}

/// Returns the single answer of a front to a query of another.
fn query_list(rig: &mut Rig) -> ListAnswer {
    rig.say(Event::PeerMessage { from: 1, bytes: &Message::Query { nonce: 9, version: 0 }.encode() });
    let answer = |action: &Action| match action {
        Action::SendToPeer { bytes, .. } => match Message::decode(bytes) {
            Ok(Message::Answer { standing, discovery_id, version, confirmations, .. }) => {
                Some(ListAnswer { standing, discovery_id, version, confirmations })
            }
            _ => None,
        },
        _ => None,
    };
    let mut answers: Vec<ListAnswer> = rig.did.iter().filter_map(answer).collect();
    assert_eq!(answers.len(), 1);
    answers.remove(0)
}

/// Returns the answer to a query of a front whose list was just confirmed.
fn confirming_answer(
    entries: &[MachineEntry],
    querying_front: u16,
    nonce: u32,
    front_id: u32,
    fronts: u32,
) -> Vec<u8> {
    let mut rig = Rig::new(subscribed_settings(front_id, fronts, true), 0);
    rig.list(ListUpdate::Snapshot, entries);
    rig.say(Event::PeerMessage {
        from: querying_front.into(),
        bytes: &Message::Query { nonce, version: 0 }.encode(),
    });
    let answer = rig.did.iter().find_map(|a| match a {
        Action::SendToPeer { peer, bytes } if *peer == Some(querying_front) => Some(bytes.clone()),
        _ => None,
    });
    answer.expect("an answer to the querying front")
}

#[test]
fn peer_confirms_only_machines_that_match_its_own_list() {
    let mut rig = Rig::new(subscribed_settings(0, 3, true), 4);
    wait(&mut rig, S);
    assert_eq!(send_request(&mut rig, None), None, "no front has confirmed a machine yet");
    let (peer, nonce) = wait_for_queries(&mut rig)[0];
    // Machine 0 drains, 1 has another process, 2 another build; 3 matches this front's list, 9 is unknown to it.
    let peer_entries = [
        MachineEntry { state: MachineState::Draining, ..entry(0, 1, 0) },
        entry(1, 1, 5 * S),
        entry(2, 2, 0),
        entry(3, 1, 0),
        entry(9, 1, 0),
    ];
    let bytes = confirming_answer(&peer_entries, 0, nonce, peer.into(), 3);
    rig.say(Event::PeerMessage { from: peer.into(), bytes: &bytes });
    let sent: Vec<_> = (0..40).filter_map(|_| send_request(&mut rig, Some(CallOutcome::Ok))).collect();
    assert!(!sent.is_empty() && sent.iter().all(|m| *m == 3), "{sent:?}");
    // The confirmation is valid as long as the other front's list, counted from the query.
    let mut rig = Rig::new(subscribed_settings(0, 3, true), 4);
    wait(&mut rig, S);
    let (peer, nonce) = wait_for_queries(&mut rig)[0];
    let query_sent_at = rig.now;
    let bytes = confirming_answer(&[entry(3, 1, 0)], 0, nonce, peer.into(), 3);
    rig.now += 400 * MS;
    rig.say(Event::PeerMessage { from: peer.into(), bytes: &bytes });
    rig.now = query_sent_at + 5_900 * MS;
    assert!(send_request(&mut rig, None).is_some());
    rig.now = query_sent_at + 6_050 * MS;
    assert_eq!(send_request(&mut rig, None), None);
}

#[test]
fn unsolicited_misattributed_and_late_answers_are_ignored() {
    let peer_answer = |rig: &mut Rig| {
        wait(rig, S);
        let (peer, nonce) = wait_for_queries(rig)[0];
        (peer, nonce, confirming_answer(&[entry(3, 1, 0)], 0, nonce, peer.into(), 3))
    };
    let (mut rig, mut ignored) = (Rig::new(subscribed_settings(0, 3, true), 4), 0);
    let (peer, nonce, bytes) = peer_answer(&mut rig);
    let other = 3 - peer;
    for (from, bytes) in [
        (u32::from(other), bytes.clone()),
        (u32::from(peer), confirming_answer(&[entry(3, 1, 0)], 0, nonce.wrapping_add(1), peer.into(), 3)),
        (70_000, bytes.clone()),
        (u32::from(peer), bytes[..5].to_vec()),
    ] {
        rig.say(Event::PeerMessage { from, bytes: &bytes });
        ignored += 1;
        assert_eq!(rig.front.ignored_events(), ignored);
        assert_eq!(send_request(&mut rig, None), None);
    }
    rig.now += S;
    rig.say(Event::PeerMessage { from: peer.into(), bytes: &bytes });
    assert_eq!(send_request(&mut rig, None), None, "too late");
}

#[test]
fn list_stays_in_use_while_no_front_reaches_discovery() {
    let mut rig = Rig::new(subscribed_settings(0, 9, true), 4);
    rig.list(ListUpdate::Delta, &[]);
    rig.list(ListUpdate::Failed, &[]);
    let mut sent = 0;
    while rig.now < 120 * S {
        rig.now += 50 * MS;
        rig.tick();
        for (peer, nonce) in sent_queries(&rig) {
            send_answer(&mut rig, peer, nonce, Standing::Unreachable(0), vec![]);
        }
        sent += usize::from(send_request(&mut rig, None).is_some());
    }
    assert_eq!(sent, 400);
    // Fronts that have not called yet have no information about discovery.
    let mut uninformed = rig.front.clone();
    let until = rig.now + 4 * S;
    let mut last = None;
    while rig.now < until {
        rig.now += 50 * MS;
        rig.tick();
        for (peer, nonce) in sent_queries(&rig) {
            send_answer(&mut rig, peer, nonce, Standing::Unknown, vec![]);
        }
        last = send_request(&mut rig, None);
    }
    assert_eq!(last, None);
    // A front with a confirmed list knows of changes that this one does not.
    std::mem::swap(&mut rig.front, &mut uninformed);
    rig.now = 120 * S;
    assert!(send_request(&mut rig, None).is_some());
    let (peer, nonce) = wait_for_queries(&mut rig)[0];
    let mut informed = rig.front.clone();
    send_answer(&mut rig, peer, nonce, Standing::Confirmed(3 * S), vec![]);
    assert_eq!(send_request(&mut rig, None), None);
    // A front that got a response, even an unreadable one, knows that discovery is up.
    std::mem::swap(&mut rig.front, &mut informed);
    assert!(send_request(&mut rig, None).is_some());
    send_answer(&mut rig, peer, nonce, Standing::Unreadable(0), vec![]);
    assert_eq!(send_request(&mut rig, None), None);
}

#[test]
fn large_fleets_call_at_most_once_per_refresh_interval() {
    // Guards against an overload by retries: if each front calls again at once, their load keeps discovery from
    // answering any of them.
    for fronts in [30, 300, 900] {
        let step = fronts / 30;
        let mut calls = Vec::new();
        for front_id in (0..fronts).step_by(step as usize) {
            let mut rig = Rig::new(subscribed_settings(front_id, fronts, true), 2);
            let mut fails_at = None;
            while rig.now < 160 * S {
                rig.now += 50 * MS;
                match fails_at.take_if(|at| *at <= rig.now) {
                    Some(_) => rig.list(ListUpdate::Failed, &[]),
                    None => rig.tick(),
                }
                if rig.did.contains(&Action::Subscribe(true)) {
                    calls.push(rig.now);
                    fails_at = Some(rig.now + 2 * S);
                }
            }
        }
        calls.sort_unstable();
        let max_calls = |span: Micros| {
            let within = |from: &Micros| calls.iter().filter(|c| **c >= *from && **c < *from + span).count();
            calls.iter().map(within).max().unwrap_or(0)
        };
        // In 8 s each front calls once; in a short time there is no burst of calls.
        assert!(max_calls(8 * S) <= 33, "{fronts} fronts: {} in 8 s", max_calls(8 * S));
        assert!(max_calls(S) <= 8, "{fronts} fronts: {} in 1 s", max_calls(S));
    }
}

proptest! {
    #[test]
    fn messages_round_trip_and_fit_a_datagram(
        nonce: u32,
        version: u64,
        discovery_id: u32,
        age in 0u64..256,
        subscription in 0u64..256,
        entries in prop::collection::vec((any::<u32>(), 0u64..256), 0..=MAX_CONFIRMATIONS),
    ) {
        let confirmations: Vec<_> = entries.into_iter().map(|(fingerprint, age)| Confirmation { fingerprint, age: age * 50 * MS }).collect();
        let subscription = match subscription {
            0 => Subscription::Missing,
            1 => Subscription::Open,
            code => Subscription::OpenedRecently((code - 2) * 4 * MS),
        };
        for standing in [Standing::Confirmed(age * 50 * MS), Standing::Unreachable(age * 50 * MS), Standing::Unreadable(age * 50 * MS), Standing::Unknown] {
            let message = Message::Answer { nonce, standing, subscription, discovery_id, version, confirmations: confirmations.clone() };
            let bytes = message.encode();
            prop_assert!(bytes.len() <= 256);
            prop_assert_eq!(Message::decode(&bytes), Ok(message));
        }
        let query = Message::Query { nonce, version };
        prop_assert_eq!(Message::decode(&query.encode()), Ok(query));
    }

    #[test]
    fn arbitrary_bytes_cause_neither_panic_nor_send(bytes in prop::collection::vec(any::<u8>(), 0..300), from: u32) {
        let mut rig = Rig::new(subscribed_settings(0, 3, true), 4);
        wait(&mut rig, S);
        rig.say(Event::PeerMessage { from, bytes: &bytes });
        prop_assert_eq!(send_request(&mut rig, None), None);
    }
}

/// A front in a fleet of three that queries the others.
struct FrontWithPeers {
    rig: Rig,
}

impl FrontWithPeers {
    /// Creates a front whose list discovery has just confirmed.
    fn confirmed() -> Self {
        let mut rig = Rig::new(subscribed_settings(0, 3, true), 4);
        rig.say(Event::DiscoveryAddress { discovery_id: OLD_DISCOVERY, moved: false });
        rig.list(ListUpdate::Delta, &[]);
        Self { rig }
    }

    /// Handles the answer of a front that uses discovery `discovery_id` and whose list was confirmed `age` ago.
    fn receive_confirmation(&mut self, discovery_id: DiscoveryId, age: Micros) {
        let (peer, nonce) = wait_for_queries(&mut self.rig)[0];
        let confirmations = vec![Confirmation { fingerprint: fingerprint(&entry(3, 1, 0)), age }];
        let standing = Standing::Confirmed(age);
        let subscription = Subscription::Open;
        let bytes =
            Message::Answer { nonce, standing, subscription, discovery_id, version: 0, confirmations }
                .encode();
        self.rig.say(Event::PeerMessage { from: peer.into(), bytes: &bytes });
    }

    /// Returns the machine that a request is sent to at `at`.
    fn send_at(&mut self, at: Micros) -> Option<MachineId> {
        assert!(at >= self.rig.now);
        self.rig.now = at;
        send_request(&mut self.rig, None)
    }
}

const OLD_DISCOVERY: DiscoveryId = 1;
const NEW_DISCOVERY: DiscoveryId = 2;

#[test]
fn after_a_move_no_peer_confirmation_outlasts_the_receivers_deadline() {
    // The confirmation comes from the new address and is recent: the front must act on changes by its deadline
    // nevertheless.
    let mut front = FrontWithPeers::confirmed();
    let moved = front.rig.now;
    front.rig.move_discovery(NEW_DISCOVERY);
    wait(&mut front.rig, 3 * S);
    front.receive_confirmation(NEW_DISCOVERY, 0);
    assert!(front.send_at(moved + 3_950 * MS).is_some());
    assert_eq!(front.send_at(moved + 4 * S), None);
    front.receive_confirmation(NEW_DISCOVERY, 0);
    assert!(front.rig.now < moved + 6 * S);
    assert_eq!(send_request(&mut front.rig, None), None, "a later confirmation must not extend the deadline");
    front.rig.list(ListUpdate::Delta, &[]);
    assert!(send_request(&mut front.rig, None).is_some());
    // The confirmation was given before the move.
    let mut front = FrontWithPeers::confirmed();
    wait(&mut front.rig, 5 * S);
    front.receive_confirmation(OLD_DISCOVERY, 0);
    let moved = front.rig.now;
    front.rig.move_discovery(NEW_DISCOVERY);
    assert_eq!(front.send_at(moved + 3_950 * MS), Some(3));
    assert_eq!(front.send_at(moved + 4 * S), None);
}

#[test]
fn second_move_does_not_extend_the_deadline_of_the_first() {
    let mut front = FrontWithPeers::confirmed();
    let moved = front.rig.now;
    front.rig.move_discovery(NEW_DISCOVERY);
    wait(&mut front.rig, 2 * S);
    front.rig.move_discovery(OLD_DISCOVERY);
    assert!(front.send_at(moved + 3_950 * MS).is_some());
    assert_eq!(front.send_at(moved + 4 * S), None);
}

#[test]
fn confirmation_from_another_discovery_is_ignored() {
    // Where fronts have different identifiers for the same discovery, another identifier proves nothing before a
    // move.
    let mut front = FrontWithPeers::confirmed();
    wait(&mut front.rig, 7 * S);
    front.receive_confirmation(NEW_DISCOVERY, 0);
    assert_eq!(send_request(&mut front.rig, None), Some(3));
    // It does once another front has sent this front's own identifier.
    let mut front = FrontWithPeers::confirmed();
    wait(&mut front.rig, 7 * S);
    front.receive_confirmation(OLD_DISCOVERY, 5_900 * MS);
    wait(&mut front.rig, S);
    front.receive_confirmation(NEW_DISCOVERY, 0);
    assert_eq!(send_request(&mut front.rig, None), None);
    // It also does while a new configuration spreads.
    for (span, is_accepted) in [(20 * S, false), (31 * S, true)] {
        let mut front = FrontWithPeers::confirmed();
        front.rig.move_discovery(NEW_DISCOVERY);
        front.rig.list(ListUpdate::Delta, &[]);
        front.rig.list(ListUpdate::Failed, &[]);
        wait(&mut front.rig, span);
        front.receive_confirmation(OLD_DISCOVERY, 0);
        assert_eq!(send_request(&mut front.rig, None).is_some(), is_accepted, "{span}");
    }
}

#[test]
fn moved_front_confirms_nothing_until_the_new_address_answers() {
    let mut front = FrontWithPeers::confirmed();
    let confirmed_machines = |front: &mut FrontWithPeers| {
        let ListAnswer { standing, discovery_id, confirmations, .. } = query_list(&mut front.rig);
        (standing, discovery_id, confirmations.len())
    };
    assert_eq!(confirmed_machines(&mut front), (Standing::Confirmed(0), OLD_DISCOVERY, 4));
    front.rig.move_discovery(NEW_DISCOVERY);
    assert_eq!(confirmed_machines(&mut front), (Standing::Unknown, NEW_DISCOVERY, 0));
    front.rig.list(ListUpdate::Delta, &[]);
    assert_eq!(confirmed_machines(&mut front), (Standing::Confirmed(0), NEW_DISCOVERY, 4));
}

#[test]
fn unread_changes_end_earlier_peer_confirmations() {
    for kind in [ListUpdate::Unreadable, ListUpdate::Stalled] {
        let mut front = FrontWithPeers::confirmed();
        wait(&mut front.rig, 5 * S);
        front.receive_confirmation(OLD_DISCOVERY, 0);
        assert!(send_request(&mut front.rig, None).is_some());
        front.rig.list(kind, &[]);
        assert_eq!(send_request(&mut front.rig, None), None, "{kind:?}");
        front.receive_confirmation(OLD_DISCOVERY, 2 * S);
        assert_eq!(send_request(&mut front.rig, None), None, "{kind:?}");
        wait(&mut front.rig, S);
        front.receive_confirmation(OLD_DISCOVERY, 0);
        assert!(send_request(&mut front.rig, None).is_some(), "{kind:?}");
    }
}

/// Ticks for `span`. Every call fails, and other fronts answer the n-th query with `answer(n)`. Returns what was sent
/// at each step.
fn run_with_failing_calls(
    rig: &mut Rig,
    span: Micros,
    answer: impl Fn(usize) -> Message,
) -> Vec<(Micros, Option<MachineId>)> {
    let (until, mut answered, mut sent) = (rig.now + span, 0, Vec::new());
    while rig.now < until {
        rig.now += 50 * MS;
        rig.tick();
        let (queries, called) = (sent_queries(rig), rig.did.contains(&Action::Subscribe(true)));
        if called {
            rig.list(ListUpdate::Failed, &[]);
        }
        for (peer, nonce) in queries {
            let Message::Answer { standing, subscription, discovery_id, version, confirmations, .. } =
                answer(answered)
            else {
                continue;
            };
            let reply =
                Message::Answer { nonce, standing, subscription, discovery_id, version, confirmations };
            rig.say(Event::PeerMessage { from: peer.into(), bytes: &reply.encode() });
            answered += 1;
        }
        sent.push((rig.now, send_request(rig, Some(CallOutcome::Ok))));
    }
    sent
}

/// The answer of a front that cannot reach discovery, whose list has this version and an unchanged machine 3.
fn unreachable_answer(discovery_id: DiscoveryId, version: u64) -> Message {
    let confirmations = vec![Confirmation { fingerprint: fingerprint(&entry(3, 1, 0)), age: 0 }];
    let (standing, subscription) = (Standing::Unreachable(0), Subscription::Missing);
    Message::Answer { nonce: 0, standing, subscription, discovery_id, version, confirmations }
}

#[test]
fn moved_front_treats_a_silent_discovery_as_slow() {
    let mut front = FrontWithPeers::confirmed();
    let moved = front.rig.now;
    front.rig.move_discovery(NEW_DISCOVERY);
    let sent = run_with_failing_calls(&mut front.rig, 20 * S, |_| unreachable_answer(NEW_DISCOVERY, 0));
    assert!(sent.iter().filter(|s| s.0 < moved + 4 * S).all(|s| s.1.is_some()));
    assert!(sent.iter().filter(|s| s.0 >= moved + 4 * S).all(|s| s.1.is_none()));
}

#[test]
fn overload_that_keeps_most_fronts_waiting_is_no_outage() {
    // One front in twenty has a list just confirmed, and all others cannot reach discovery.
    let mut front = FrontWithPeers::confirmed();
    let began_at = front.rig.now;
    front.rig.list(ListUpdate::Failed, &[]);
    let sent =
        run_with_failing_calls(&mut front.rig, 20 * S, |n| match unreachable_answer(OLD_DISCOVERY, 0) {
            Message::Answer { nonce, subscription, discovery_id, version, .. } if n % 20 == 0 => {
                let standing = Standing::Confirmed(0);
                Message::Answer {
                    nonce,
                    standing,
                    subscription,
                    discovery_id,
                    version,
                    confirmations: vec![],
                }
            }
            other => other,
        });
    assert!(sent.iter().filter(|s| s.0 > began_at + 6 * S).all(|s| s.1.is_none()));
}

#[test]
fn only_a_front_that_lost_its_subscription_reports_discovery_unreachable() {
    let no_answer = |_| Message::Query { nonce: 0, version: 0 };
    let mut started = Rig::new(subscribed_settings(0, 3, true), 4);
    run_with_failing_calls(&mut started, 30 * S, no_answer);
    assert_eq!(query_list(&mut started).standing, Standing::Unknown);
    let mut moved = FrontWithPeers::confirmed().rig;
    moved.move_discovery(NEW_DISCOVERY);
    run_with_failing_calls(&mut moved, 30 * S, no_answer);
    assert_eq!(query_list(&mut moved).standing, Standing::Unknown);
    let mut lost = FrontWithPeers::confirmed().rig;
    lost.list(ListUpdate::Failed, &[]);
    run_with_failing_calls(&mut lost, 30 * S, no_answer);
    assert!(matches!(query_list(&mut lost).standing, Standing::Unreachable(_)));
}

#[test]
fn outage_uses_no_machine_that_differs_in_a_newer_list() {
    // A front restarts with an old list among others that cannot reach discovery either.
    for (version, only) in [(0, None), (7, Some(3))] {
        let mut rig = Rig::new(subscribed_settings(0, 9, true), 4);
        rig.say(Event::DiscoveryAddress { discovery_id: OLD_DISCOVERY, moved: false });
        let sent = run_with_failing_calls(&mut rig, 20 * S, |_| unreachable_answer(OLD_DISCOVERY, version));
        let late_machines: Vec<MachineId> =
            sent.iter().filter(|s| s.0 > 105 * S).filter_map(|s| s.1).collect();
        assert!(!late_machines.is_empty());
        assert_eq!(
            late_machines.iter().all(|machine| Some(*machine) == only),
            only.is_some(),
            "{late_machines:?}"
        );
    }
}

/// The answer of a front without a list of its own and with this standing.
fn answer_with_standing(standing: Standing) -> Message {
    let subscription = Subscription::Missing;
    Message::Answer {
        nonce: 0,
        standing,
        subscription,
        discovery_id: OLD_DISCOVERY,
        version: 0,
        confirmations: vec![],
    }
}

#[test]
fn outage_evidence_ages_from_the_last_failed_call() {
    // No front has called since the outage began: the reports age, and this front's own call is still in flight.
    let mut front = FrontWithPeers::confirmed().rig;
    front.list(ListUpdate::Failed, &[]);
    let began_at = front.now;
    let mut sent = Vec::new();
    while front.now < began_at + 9 * S {
        front.now += 50 * MS;
        front.tick();
        let age = front.now - began_at;
        for (peer, nonce) in sent_queries(&front) {
            send_answer(&mut front, peer, nonce, Standing::Unreachable(age), vec![]);
        }
        sent.push((front.now, send_request(&mut front, Some(CallOutcome::Ok)).is_some()));
    }
    assert!(sent.iter().all(|(at, sent)| *sent == (*at < began_at + 6 * S)), "{sent:?}");
    // One later failed call is evidence for as long again, even if another front made it.
    answer_next_queries(&mut front, Standing::Unreachable(S));
    front.tick();
    let is_logged =
        |action: &Action| matches!(action, Action::Log(line) if line.contains("Outage (last failed call 1"));
    assert!(front.did.iter().any(is_logged), "{:?}", front.did);
    answer_next_queries(&mut front, Standing::Unreachable(9 * S));
    assert!(send_request(&mut front, Some(CallOutcome::Ok)).is_some());
    assert!(
        matches!(query_list(&mut front).standing, Standing::Unreachable(age) if (S..2 * S).contains(&age))
    );
}

/// Answers the next queries with this standing.
fn answer_next_queries(rig: &mut Rig, standing: Standing) {
    for (peer, nonce) in wait_for_queries(rig) {
        send_answer(rig, peer, nonce, standing, vec![]);
    }
}

#[test]
fn evidence_that_discovery_is_up_is_passed_on_with_its_age_and_outlives_failed_calls() {
    let mut front = FrontWithPeers::confirmed().rig;
    front.list(ListUpdate::Failed, &[]);
    wait(&mut front, 5 * S);
    answer_next_queries(&mut front, Standing::Unreadable(2 * S));
    let answered_at = front.now;
    let sent = run_with_failing_calls(&mut front, 5 * S, |_| answer_with_standing(Standing::Unreachable(0)));
    assert!(sent.iter().filter(|sent| sent.0 > answered_at + S).all(|sent| sent.1.is_none()), "{sent:?}");
    let age = front.now - answered_at + 2 * S;
    assert!(
        matches!(query_list(&mut front).standing, Standing::Unreadable(reported) if (age..age + 100 * MS).contains(&reported))
    );
    // Evidence that discovery was up before this front's list was confirmed adds nothing new.
    let mut front = FrontWithPeers::confirmed().rig;
    front.list(ListUpdate::Failed, &[]);
    wait(&mut front, 5 * S);
    answer_next_queries(&mut front, Standing::Unreadable(6 * S));
    let sent = run_with_failing_calls(&mut front, 5 * S, |_| answer_with_standing(Standing::Unreachable(0)));
    assert!(sent.iter().all(|sent| sent.1.is_some()), "{sent:?}");
}

#[test]
fn unread_changes_are_remembered_in_a_following_outage() {
    for kind in [ListUpdate::Unreadable, ListUpdate::Stalled] {
        let mut front = FrontWithPeers::confirmed().rig;
        front.list(kind, &[]);
        let sent = run_with_failing_calls(&mut front, 20 * S, |_| unreachable_answer(OLD_DISCOVERY, 7));
        assert!(sent.iter().all(|sent| sent.1.is_none()), "{kind:?}: {sent:?}");
    }
}

#[test]
fn newest_known_list_applies_in_an_outage_even_if_an_older_one_has_a_lease() {
    let mut front = FrontWithPeers::confirmed();
    front.rig.list(ListUpdate::Failed, &[]);
    wait(&mut front.rig, 5 * S);
    // Another front confirms machine 3 by the list that this front has.
    front.receive_confirmation(OLD_DISCOVERY, 3 * S);
    // Discovery went down after it had sent other fronts a newer list without machine 3.
    let newer_list = |_| Message::Answer {
        nonce: 0,
        standing: Standing::Unreachable(0),
        subscription: Subscription::Missing,
        discovery_id: OLD_DISCOVERY,
        version: 7,
        confirmations: vec![Confirmation { fingerprint: fingerprint(&entry(2, 1, 0)), age: 0 }],
    };
    let answered_at = front.rig.now;
    let sent = run_with_failing_calls(&mut front.rig, 15 * S, newer_list);
    let late_machines: Vec<_> =
        sent.iter().filter(|sent| sent.0 > answered_at + 8 * S).map(|sent| sent.1).collect();
    assert!(late_machines.iter().all(|machine| *machine == Some(2)), "{late_machines:?}");
    // The front passes that on with the version of the newer list.
    assert_eq!(query_list(&mut front.rig).version, 7);
}

#[test]
fn calls_after_a_move_are_spread_over_the_time_that_discovery_needs() {
    // Each of 300 fronts has its slot in 8 s until it learns that a call costs 10 ms and how many fronts wait.
    for (waiting, within) in [(true, 5 * S), (false, S)] {
        for front_id in [10, 100, 290] {
            let mut rig = Rig::new(subscribed_settings(front_id, 300, true), 4);
            rig.say(Event::DiscoveryAddress { discovery_id: OLD_DISCOVERY, moved: false });
            rig.list(ListUpdate::Delta, &[]);
            rig.move_discovery(NEW_DISCOVERY);
            let moved = rig.now;
            let mut called = None;
            while called.is_none() {
                rig.now += 50 * MS;
                rig.tick();
                called = rig.did.contains(&Action::Subscribe(true)).then_some(rig.now);
                for (n, (peer, nonce)) in sent_queries(&rig).into_iter().enumerate() {
                    let subscription = match waiting && n > 0 {
                        true => Subscription::Missing,
                        false => Subscription::OpenedRecently(10 * MS),
                    };
                    let (standing, discovery_id) = (Standing::Unknown, NEW_DISCOVERY);
                    let answer = Message::Answer {
                        nonce,
                        standing,
                        subscription,
                        discovery_id,
                        version: 0,
                        confirmations: vec![],
                    };
                    rig.say(Event::PeerMessage { from: peer.into(), bytes: &answer.encode() });
                }
            }
            assert!(
                called.is_some_and(|at| at <= moved + within),
                "front {front_id}: {called:?} after {moved}"
            );
        }
    }
}
