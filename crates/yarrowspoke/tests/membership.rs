//! How far a list is trusted: by whom it is vouched for, for how long, and what is done without.

mod common;
use common::*;
use proptest::prelude::*;
use yarrowspoke::interface::*;
use yarrowspoke::membership::message::{
    fingerprint, Confirmation, Message, Standing, Subscription, MAX_CONFIRMATIONS,
};

/// Settings of front `me` of `fronts` on sockets, where a standing watch confirms the list again and again.
fn watching(me: u32, fronts: u32, peers: bool) -> Settings {
    Settings {
        front_id: me,
        fronts,
        allows_peer_messages: peers,
        pulls_list: true,
        list_heartbeats: true,
        ..settings()
    }
}

/// Ticks for `span`, without requests.
fn wait(rig: &mut Rig, span: Micros) {
    let until = rig.now + span;
    while rig.now < until {
        rig.now += 50 * MS;
        rig.tick();
    }
}

/// Whether a request is sent to some machine now; what is sent is answered at once, if told to.
fn is_sent(rig: &mut Rig, answered: Option<CallOutcome>) -> Option<MachineId> {
    let id = rig.request(0);
    let (_, machine) = rig.sent()?;
    if let Some(ending) = answered {
        rig.end(id, 0, machine, ending);
    }
    Some(machine)
}

#[test]
fn a_list_that_is_not_confirmed_is_let_go_before_its_changes_count_as_told() {
    let mut rig = Rig::new(watching(0, 2, false), 3);
    rig.list(ListUpdate::Delta, &[]);
    wait(&mut rig, 5_900 * MS);
    assert!(is_sent(&mut rig, None).is_some());
    wait(&mut rig, 150 * MS);
    assert_eq!(is_sent(&mut rig, None), None);
    // Who waits for a machine is answered before long.
    let mut finals = 0;
    for _ in 0..10 {
        rig.now += 50 * MS;
        rig.tick();
        finals += rig.finals();
    }
    assert_eq!(finals, 1);
    rig.list(ListUpdate::Delta, &[]);
    assert!(is_sent(&mut rig, None).is_some());
}

#[test]
fn a_list_held_from_before_the_start_is_trusted_for_less_than_the_grace_of_a_drain() {
    let mut rig = Rig::new(watching(0, 2, false), 3);
    assert!(is_sent(&mut rig, None).is_some());
    wait(&mut rig, 450 * MS);
    assert_eq!(is_sent(&mut rig, None), None);
}

#[test]
fn an_answer_does_not_prove_that_a_machine_is_the_one_listed() {
    // Danger: another process under an old name answers just as well, while discovery has still to tell that the listed one
    // went. On a herd day of 300 fronts such answers kept fronts sending for seconds.
    let mut rig = Rig::new(watching(0, 2, false), 1);
    rig.list(ListUpdate::Delta, &[]);
    for _ in 0..11 {
        wait(&mut rig, 500 * MS);
        assert!(is_sent(&mut rig, Some(CallOutcome::Ok)).is_some());
    }
    wait(&mut rig, 550 * MS);
    assert_eq!(is_sent(&mut rig, None), None);
}

#[test]
fn what_a_planner_takes_away_neither_confirms_the_list_nor_ends_the_calls_for_it() {
    let mut rig = Rig::new(watching(0, 2, false), 3);
    rig.list(ListUpdate::Failed, &[]);
    rig.list(ListUpdate::Restricted, &[MachineEntry { state: MachineState::Draining, ..entry(0, 1, 0) }]);
    let mut calls = 0;
    for _ in 0..400 {
        rig.now += 50 * MS;
        rig.tick();
        calls += usize::from(rig.did.contains(&Action::Subscribe(true)));
    }
    assert!(calls >= 1);
    assert_eq!(is_sent(&mut rig, None), None);
}

#[test]
fn after_a_move_the_list_is_let_go_sooner_and_after_an_unreadable_answer_at_once() {
    let mut rig = Rig::new(watching(0, 2, false), 3);
    rig.list(ListUpdate::Delta, &[]);
    rig.move_discovery(2);
    wait(&mut rig, 3_950 * MS);
    assert!(is_sent(&mut rig, None).is_some());
    wait(&mut rig, 100 * MS);
    assert_eq!(is_sent(&mut rig, None), None);
    rig.list(ListUpdate::Delta, &[]);
    rig.list(ListUpdate::Unreadable, &[]);
    assert_eq!(is_sent(&mut rig, None), None);
}

#[test]
fn a_front_alone_goes_on_when_discovery_is_silent_and_not_when_it_cannot_be_read() {
    for (kind, goes_on) in [(ListUpdate::Failed, true), (ListUpdate::Unreadable, false)] {
        let mut rig = Rig::new(watching(0, 1, false), 3);
        rig.list(ListUpdate::Delta, &[]);
        for _ in 0..20 {
            rig.list(kind, &[]);
            wait(&mut rig, S);
        }
        assert_eq!(is_sent(&mut rig, None).is_some(), goes_on, "{kind:?}");
    }
}

/// The questions that the last event made a front ask.
fn questions(rig: &Rig) -> Vec<(u16, u32)> {
    let question = |a: &Action| match a {
        Action::SendToPeer { peer: Some(peer), bytes } => match Message::decode(bytes) {
            Ok(Message::Query { nonce, .. }) => Some((*peer, nonce)),
            _ => None,
        },
        _ => None,
    };
    rig.did.iter().filter_map(question).collect()
}

/// Waits for questions to other fronts.
fn asked(rig: &mut Rig) -> Vec<(u16, u32)> {
    for _ in 0..100 {
        rig.now += 50 * MS;
        rig.tick();
        let asked = questions(rig);
        if !asked.is_empty() {
            return asked;
        }
    }
    panic!("no question in 5 s");
}

fn answer(rig: &mut Rig, from: u16, nonce: u32, standing: Standing, vouched: Vec<Confirmation>) {
    let bytes = Message::Answer {
        nonce,
        standing,
        subscription: Subscription::Missing,
        discovery_id: 0,
        version: 0,
        confirmations: vouched,
    }
    .encode();
    rig.say(Event::PeerMessage { from: from.into(), bytes: &bytes });
}

/// What a front tells another of the list.
struct Told {
    standing: Standing,
    source: DiscoveryId,
    version: u64,
    vouched: Vec<Confirmation>,
}

/// The one answer of a front to a question of another.
fn told(rig: &mut Rig) -> Told {
    rig.say(Event::PeerMessage { from: 1, bytes: &Message::Query { nonce: 9, version: 0 }.encode() });
    let answer = |action: &Action| match action {
        Action::SendToPeer { bytes, .. } => match Message::decode(bytes) {
            Ok(Message::Answer {
                standing, discovery_id: source, version, confirmations: vouched, ..
            }) => Some(Told { standing, source, version, vouched }),
            _ => None,
        },
        _ => None,
    };
    let mut answers: Vec<Told> = rig.did.iter().filter_map(answer).collect();
    assert_eq!(answers.len(), 1);
    answers.remove(0)
}

/// What a front whose list was just confirmed answers to a question.
fn vouching(entries: &[MachineEntry], asker: u16, nonce: u32, me: u32, fronts: u32) -> Vec<u8> {
    let mut rig = Rig::new(watching(me, fronts, true), 0);
    rig.list(ListUpdate::Snapshot, entries);
    rig.say(Event::PeerMessage { from: asker.into(), bytes: &Message::Query { nonce, version: 0 }.encode() });
    let told = rig.did.iter().find_map(|a| match a {
        Action::SendToPeer { peer, bytes } if *peer == Some(asker) => Some(bytes.clone()),
        _ => None,
    });
    told.expect("an answer to the asker")
}

#[test]
fn a_front_is_vouched_for_just_what_another_has_of_its_own_list() {
    let mut rig = Rig::new(watching(0, 3, true), 4);
    wait(&mut rig, S);
    assert_eq!(is_sent(&mut rig, None), None, "nobody has vouched yet");
    let (peer, nonce) = asked(&mut rig)[0];
    // Machine 0 drains, 1 has another process, 2 another build; 3 is as this front knows it, 9 is new to it.
    let others = [
        MachineEntry { state: MachineState::Draining, ..entry(0, 1, 0) },
        entry(1, 1, 5 * S),
        entry(2, 2, 0),
        entry(3, 1, 0),
        entry(9, 1, 0),
    ];
    let bytes = vouching(&others, 0, nonce, peer.into(), 3);
    rig.say(Event::PeerMessage { from: peer.into(), bytes: &bytes });
    let sent: Vec<_> = (0..40).filter_map(|_| is_sent(&mut rig, Some(CallOutcome::Ok))).collect();
    assert!(!sent.is_empty() && sent.iter().all(|m| *m == 3), "{sent:?}");
    // It lasts as long as the other's list, counted from the question.
    let mut rig = Rig::new(watching(0, 3, true), 4);
    wait(&mut rig, S);
    let (peer, nonce) = asked(&mut rig)[0];
    let began = rig.now;
    let bytes = vouching(&[entry(3, 1, 0)], 0, nonce, peer.into(), 3);
    rig.now += 400 * MS;
    rig.say(Event::PeerMessage { from: peer.into(), bytes: &bytes });
    rig.now = began + 5_900 * MS;
    assert!(is_sent(&mut rig, None).is_some());
    rig.now = began + 6_050 * MS;
    assert_eq!(is_sent(&mut rig, None), None);
}

#[test]
fn nothing_counts_that_was_not_asked_or_came_from_somebody_else_or_too_late() {
    let honest = |rig: &mut Rig| {
        wait(rig, S);
        let (peer, nonce) = asked(rig)[0];
        (peer, nonce, vouching(&[entry(3, 1, 0)], 0, nonce, peer.into(), 3))
    };
    let (mut rig, mut ignored) = (Rig::new(watching(0, 3, true), 4), 0);
    let (peer, nonce, bytes) = honest(&mut rig);
    let other = 3 - peer;
    for (from, bytes) in [
        (u32::from(other), bytes.clone()),
        (u32::from(peer), vouching(&[entry(3, 1, 0)], 0, nonce.wrapping_add(1), peer.into(), 3)),
        (70_000, bytes.clone()),
        (u32::from(peer), bytes[..5].to_vec()),
    ] {
        rig.say(Event::PeerMessage { from, bytes: &bytes });
        ignored += 1;
        assert_eq!(rig.front.ignored_events(), ignored);
        assert_eq!(is_sent(&mut rig, None), None);
    }
    rig.now += S;
    rig.say(Event::PeerMessage { from: peer.into(), bytes: &bytes });
    assert_eq!(is_sent(&mut rig, None), None, "too late");
}

#[test]
fn the_list_stays_in_use_while_all_are_cut_off_until_one_is_not() {
    let mut rig = Rig::new(watching(0, 9, true), 4);
    rig.list(ListUpdate::Delta, &[]);
    rig.list(ListUpdate::Failed, &[]);
    let mut sent = 0;
    while rig.now < 120 * S {
        rig.now += 50 * MS;
        rig.tick();
        for (peer, nonce) in questions(&rig) {
            answer(&mut rig, peer, nonce, Standing::Unreachable(0), vec![]);
        }
        sent += usize::from(is_sent(&mut rig, None).is_some());
    }
    assert_eq!(sent, 400);
    // Fronts that have not tried say nothing of discovery.
    let mut young = rig.front.clone();
    let until = rig.now + 4 * S;
    let mut last = None;
    while rig.now < until {
        rig.now += 50 * MS;
        rig.tick();
        for (peer, nonce) in questions(&rig) {
            answer(&mut rig, peer, nonce, Standing::Unknown, vec![]);
        }
        last = is_sent(&mut rig, None);
    }
    assert_eq!(last, None);
    // One whose list holds knows of changes that this one does not.
    std::mem::swap(&mut rig.front, &mut young);
    rig.now = 120 * S;
    assert!(is_sent(&mut rig, None).is_some());
    let (peer, nonce) = asked(&mut rig)[0];
    let mut told_otherwise = rig.front.clone();
    answer(&mut rig, peer, nonce, Standing::Confirmed(3 * S), vec![]);
    assert_eq!(is_sent(&mut rig, None), None);
    // One that was answered, though unreadably, knows that discovery is at work.
    std::mem::swap(&mut rig.front, &mut told_otherwise);
    assert!(is_sent(&mut rig, None).is_some());
    answer(&mut rig, peer, nonce, Standing::Unreadable(0), vec![]);
    assert_eq!(is_sent(&mut rig, None), None);
}

#[test]
fn hundreds_of_fronts_call_no_faster_than_once_in_the_time_given_for_asking() {
    // Danger: where each asks again at once, they are a load that keeps discovery from answering any of them.
    for fronts in [30, 300, 900] {
        let every = fronts / 30;
        let mut calls = Vec::new();
        for me in (0..fronts).step_by(every as usize) {
            let mut rig = Rig::new(watching(me, fronts, true), 2);
            let mut due = None;
            while rig.now < 160 * S {
                rig.now += 50 * MS;
                match due.take_if(|at| *at <= rig.now) {
                    Some(_) => rig.list(ListUpdate::Failed, &[]),
                    None => rig.tick(),
                }
                if rig.did.contains(&Action::Subscribe(true)) {
                    calls.push(rig.now);
                    due = Some(rig.now + 2 * S);
                }
            }
        }
        calls.sort_unstable();
        let most = |span: Micros| {
            let within = |from: &Micros| calls.iter().filter(|c| **c >= *from && **c < *from + span).count();
            calls.iter().map(within).max().unwrap_or(0)
        };
        // Eight seconds take one call of each; a short span takes no crowd.
        assert!(most(8 * S) <= 33, "{fronts} fronts: {} in 8 s", most(8 * S));
        assert!(most(S) <= 8, "{fronts} fronts: {} in 1 s", most(S));
    }
}

proptest! {
    #[test]
    fn messages_come_back_as_they_were_and_fit_a_datagram(
        nonce: u32,
        version: u64,
        source: u32,
        age in 0u64..256,
        subscription in 0u64..256,
        lines in prop::collection::vec((any::<u32>(), 0u64..256), 0..=MAX_CONFIRMATIONS),
    ) {
        let vouched: Vec<_> = lines.into_iter().map(|(fingerprint, age)| Confirmation { fingerprint, age: age * 50 * MS }).collect();
        let subscription = match subscription {
            0 => Subscription::Missing,
            1 => Subscription::Open,
            opened => Subscription::OpenedRecently((opened - 2) * 4 * MS),
        };
        for standing in [Standing::Confirmed(age * 50 * MS), Standing::Unreachable(age * 50 * MS), Standing::Unreadable(age * 50 * MS), Standing::Unknown] {
            let message = Message::Answer { nonce, standing, subscription, discovery_id: source, version, confirmations: vouched.clone() };
            let bytes = message.encode();
            prop_assert!(bytes.len() <= 256);
            prop_assert_eq!(Message::decode(&bytes), Ok(message));
        }
        let question = Message::Query { nonce, version };
        prop_assert_eq!(Message::decode(&question.encode()), Ok(question));
    }

    #[test]
    fn no_bytes_make_a_front_panic_or_send(bytes in prop::collection::vec(any::<u8>(), 0..300), from: u32) {
        let mut rig = Rig::new(watching(0, 3, true), 4);
        wait(&mut rig, S);
        rig.say(Event::PeerMessage { from, bytes: &bytes });
        prop_assert_eq!(is_sent(&mut rig, None), None);
    }
}

/// A front that another vouches for, by an answer to its question.
struct Standby {
    rig: Rig,
}

impl Standby {
    /// One whose list was confirmed by discovery just now.
    fn confirmed() -> Self {
        let mut rig = Rig::new(watching(0, 3, true), 4);
        rig.say(Event::DiscoveryAddress { discovery_id: OLD, moved: false });
        rig.list(ListUpdate::Delta, &[]);
        Self { rig }
    }

    /// Takes the word of another front that goes by `source` and whose list was confirmed `age` ago.
    fn hear(&mut self, source: DiscoveryId, age: Micros) {
        let (peer, nonce) = asked(&mut self.rig)[0];
        let vouched = vec![Confirmation { fingerprint: fingerprint(&entry(3, 1, 0)), age }];
        let standing = Standing::Confirmed(age);
        let subscription = Subscription::Open;
        let bytes = Message::Answer {
            nonce,
            standing,
            subscription,
            discovery_id: source,
            version: 0,
            confirmations: vouched,
        }
        .encode();
        self.rig.say(Event::PeerMessage { from: peer.into(), bytes: &bytes });
    }

    /// The machine that a request is sent to `after` that moment.
    fn sends_at(&mut self, at: Micros) -> Option<MachineId> {
        assert!(at >= self.rig.now);
        self.rig.now = at;
        is_sent(&mut self.rig, None)
    }
}

const OLD: DiscoveryId = 1;
const NEW: DiscoveryId = 2;

#[test]
fn after_a_move_no_word_of_others_outlasts_the_deadline_of_the_front_that_takes_it() {
    // By the new address, just confirmed: what changes until the deadline counts as told by then all the same.
    let mut front = Standby::confirmed();
    let moved = front.rig.now;
    front.rig.move_discovery(NEW);
    wait(&mut front.rig, 3 * S);
    front.hear(NEW, 0);
    assert!(front.sends_at(moved + 3_950 * MS).is_some());
    assert_eq!(front.sends_at(moved + 4 * S), None);
    front.hear(NEW, 0);
    assert!(front.rig.now < moved + 6 * S);
    assert_eq!(is_sent(&mut front.rig, None), None, "nor does one that comes later begin anew");
    front.rig.list(ListUpdate::Delta, &[]);
    assert!(is_sent(&mut front.rig, None).is_some());
    // Given before the move.
    let mut front = Standby::confirmed();
    wait(&mut front.rig, 5 * S);
    front.hear(OLD, 0);
    let moved = front.rig.now;
    front.rig.move_discovery(NEW);
    assert_eq!(front.sends_at(moved + 3_950 * MS), Some(3));
    assert_eq!(front.sends_at(moved + 4 * S), None);
}

#[test]
fn a_second_move_does_not_put_off_the_deadline_of_the_first() {
    let mut front = Standby::confirmed();
    let moved = front.rig.now;
    front.rig.move_discovery(NEW);
    wait(&mut front.rig, 2 * S);
    front.rig.move_discovery(OLD);
    assert!(front.sends_at(moved + 3_950 * MS).is_some());
    assert_eq!(front.sends_at(moved + 4 * S), None);
}

#[test]
fn the_word_of_a_front_that_goes_by_another_discovery_does_not_count() {
    // Where fronts name one discovery differently, another name proves nothing before a move...
    let mut front = Standby::confirmed();
    wait(&mut front.rig, 7 * S);
    front.hear(NEW, 0);
    assert_eq!(is_sent(&mut front.rig, None), Some(3));
    // ...but does once the own one was heard...
    let mut front = Standby::confirmed();
    wait(&mut front.rig, 7 * S);
    front.hear(OLD, 5_900 * MS);
    wait(&mut front.rig, S);
    front.hear(NEW, 0);
    assert_eq!(is_sent(&mut front.rig, None), None);
    // ...and while a new configuration spreads.
    for (span, counts) in [(20 * S, false), (31 * S, true)] {
        let mut front = Standby::confirmed();
        front.rig.move_discovery(NEW);
        front.rig.list(ListUpdate::Delta, &[]);
        front.rig.list(ListUpdate::Failed, &[]);
        wait(&mut front.rig, span);
        front.hear(OLD, 0);
        assert_eq!(is_sent(&mut front.rig, None).is_some(), counts, "{span}");
    }
}

#[test]
fn a_front_that_has_moved_vouches_for_nothing_until_it_has_called_the_new_address() {
    let mut front = Standby::confirmed();
    let vouches = |front: &mut Standby| {
        let Told { standing, source, vouched, .. } = told(&mut front.rig);
        (standing, source, vouched.len())
    };
    assert_eq!(vouches(&mut front), (Standing::Confirmed(0), OLD, 4));
    front.rig.move_discovery(NEW);
    assert_eq!(vouches(&mut front), (Standing::Unknown, NEW, 0));
    front.rig.list(ListUpdate::Delta, &[]);
    assert_eq!(vouches(&mut front), (Standing::Confirmed(0), NEW, 4));
}

#[test]
fn what_was_told_and_not_read_ends_what_others_vouched_for_before() {
    for kind in [ListUpdate::Unreadable, ListUpdate::Stalled] {
        let mut front = Standby::confirmed();
        wait(&mut front.rig, 5 * S);
        front.hear(OLD, 0);
        assert!(is_sent(&mut front.rig, None).is_some());
        front.rig.list(kind, &[]);
        assert_eq!(is_sent(&mut front.rig, None), None, "{kind:?}");
        front.hear(OLD, 2 * S);
        assert_eq!(is_sent(&mut front.rig, None), None, "{kind:?}");
        wait(&mut front.rig, S);
        front.hear(OLD, 0);
        assert!(is_sent(&mut front.rig, None).is_some(), "{kind:?}");
    }
}

/// Ticks for `span`. Every call fails, and other fronts answer every question as `answer` has it for the n-th; what was sent at
/// each step.
fn cut_off(
    rig: &mut Rig,
    span: Micros,
    answer: impl Fn(usize) -> Message,
) -> Vec<(Micros, Option<MachineId>)> {
    let (until, mut asked, mut sent) = (rig.now + span, 0, Vec::new());
    while rig.now < until {
        rig.now += 50 * MS;
        rig.tick();
        let (asks, called) = (questions(rig), rig.did.contains(&Action::Subscribe(true)));
        if called {
            rig.list(ListUpdate::Failed, &[]);
        }
        for (peer, nonce) in asks {
            let Message::Answer {
                standing,
                subscription,
                discovery_id: source,
                version,
                confirmations: vouched,
                ..
            } = answer(asked)
            else {
                continue;
            };
            let told = Message::Answer {
                nonce,
                standing,
                subscription,
                discovery_id: source,
                version,
                confirmations: vouched,
            };
            rig.say(Event::PeerMessage { from: peer.into(), bytes: &told.encode() });
            asked += 1;
        }
        sent.push((rig.now, is_sent(rig, Some(CallOutcome::Ok))));
    }
    sent
}

/// A front that reaches nothing, by a list of this version in which machine 3 is as it was.
fn reaches_nothing(source: DiscoveryId, version: u64) -> Message {
    let vouched = vec![Confirmation { fingerprint: fingerprint(&entry(3, 1, 0)), age: 0 }];
    let (standing, subscription) = (Standing::Unreachable(0), Subscription::Missing);
    Message::Answer {
        nonce: 0,
        standing,
        subscription,
        discovery_id: source,
        version,
        confirmations: vouched,
    }
}

#[test]
fn a_front_that_has_moved_takes_a_discovery_that_does_not_answer_for_a_slow_one() {
    let mut front = Standby::confirmed();
    let moved = front.rig.now;
    front.rig.move_discovery(NEW);
    let sent = cut_off(&mut front.rig, 20 * S, |_| reaches_nothing(NEW, 0));
    assert!(sent.iter().filter(|s| s.0 < moved + 4 * S).all(|s| s.1.is_some()));
    assert!(sent.iter().filter(|s| s.0 >= moved + 4 * S).all(|s| s.1.is_none()));
}

#[test]
fn a_crowd_that_keeps_most_fronts_waiting_is_no_outage() {
    // One in twenty has a list just confirmed, and all others reach nothing.
    let mut front = Standby::confirmed();
    let begun = front.rig.now;
    front.rig.list(ListUpdate::Failed, &[]);
    let sent = cut_off(&mut front.rig, 20 * S, |n| match reaches_nothing(OLD, 0) {
        Message::Answer { nonce, subscription, discovery_id: source, version, .. } if n % 20 == 0 => {
            let standing = Standing::Confirmed(0);
            Message::Answer {
                nonce,
                standing,
                subscription,
                discovery_id: source,
                version,
                confirmations: vec![],
            }
        }
        other => other,
    });
    assert!(sent.iter().filter(|s| s.0 > begun + 6 * S).all(|s| s.1.is_none()));
}

#[test]
fn only_a_front_that_discovery_went_away_from_says_that_it_reaches_nothing() {
    let nobody = |_| Message::Query { nonce: 0, version: 0 };
    let mut started = Rig::new(watching(0, 3, true), 4);
    cut_off(&mut started, 30 * S, nobody);
    assert_eq!(told(&mut started).standing, Standing::Unknown);
    let mut moved = Standby::confirmed().rig;
    moved.move_discovery(NEW);
    cut_off(&mut moved, 30 * S, nobody);
    assert_eq!(told(&mut moved).standing, Standing::Unknown);
    let mut left = Standby::confirmed().rig;
    left.list(ListUpdate::Failed, &[]);
    cut_off(&mut left, 30 * S, nobody);
    assert!(matches!(told(&mut left).standing, Standing::Unreachable(_)));
}

#[test]
fn in_an_outage_no_machine_is_used_that_a_newer_list_had_otherwise() {
    // A front that restarts with an old list among others that cannot reach discovery either.
    for (version, only) in [(0, None), (7, Some(3))] {
        let mut rig = Rig::new(watching(0, 9, true), 4);
        rig.say(Event::DiscoveryAddress { discovery_id: OLD, moved: false });
        let sent = cut_off(&mut rig, 20 * S, |_| reaches_nothing(OLD, version));
        let late: Vec<MachineId> = sent.iter().filter(|s| s.0 > 105 * S).filter_map(|s| s.1).collect();
        assert!(!late.is_empty());
        assert_eq!(late.iter().all(|machine| Some(*machine) == only), only.is_some(), "{late:?}");
    }
}

/// The answer of a front without a list of its own that stands so towards discovery.
fn standing_so(standing: Standing) -> Message {
    let subscription = Subscription::Missing;
    Message::Answer { nonce: 0, standing, subscription, discovery_id: OLD, version: 0, confirmations: vec![] }
}

#[test]
fn the_word_that_discovery_is_out_of_reach_lasts_from_the_last_call_that_failed() {
    // Nobody has called since the outage began: each says so ever later, and this front's own call is still out.
    let mut front = Standby::confirmed().rig;
    front.list(ListUpdate::Failed, &[]);
    let begun = front.now;
    let mut sent = Vec::new();
    while front.now < begun + 9 * S {
        front.now += 50 * MS;
        front.tick();
        let age = front.now - begun;
        for (peer, nonce) in questions(&front) {
            answer(&mut front, peer, nonce, Standing::Unreachable(age), vec![]);
        }
        sent.push((front.now, is_sent(&mut front, Some(CallOutcome::Ok)).is_some()));
    }
    assert!(sent.iter().all(|(at, sent)| *sent == (*at < begun + 6 * S)), "{sent:?}");
    // One call later that failed is worth as much again, though another made it.
    answer_next(&mut front, Standing::Unreachable(S));
    front.tick();
    let tells = |action: &Action| matches!(action, Action::Log(line) if line.contains("Outage (last called in vain 1"));
    assert!(front.did.iter().any(tells), "{:?}", front.did);
    answer_next(&mut front, Standing::Unreachable(9 * S));
    assert!(is_sent(&mut front, Some(CallOutcome::Ok)).is_some());
    assert!(matches!(told(&mut front).standing, Standing::Unreachable(age) if (S..2 * S).contains(&age)));
}

/// Answers the next questions so.
fn answer_next(rig: &mut Rig, standing: Standing) {
    for (peer, nonce) in asked(rig) {
        answer(rig, peer, nonce, standing, vec![]);
    }
}

#[test]
fn that_discovery_was_at_work_is_passed_on_with_its_age_and_not_forgotten_for_calls_that_fail() {
    let mut front = Standby::confirmed().rig;
    front.list(ListUpdate::Failed, &[]);
    wait(&mut front, 5 * S);
    answer_next(&mut front, Standing::Unreadable(2 * S));
    let heard = front.now;
    let sent = cut_off(&mut front, 5 * S, |_| standing_so(Standing::Unreachable(0)));
    assert!(sent.iter().filter(|sent| sent.0 > heard + S).all(|sent| sent.1.is_none()), "{sent:?}");
    let age = front.now - heard + 2 * S;
    assert!(
        matches!(told(&mut front).standing, Standing::Unreadable(told) if (age..age + 100 * MS).contains(&told))
    );
    // What was at work before this front's list was confirmed tells nothing new.
    let mut front = Standby::confirmed().rig;
    front.list(ListUpdate::Failed, &[]);
    wait(&mut front, 5 * S);
    answer_next(&mut front, Standing::Unreadable(6 * S));
    let sent = cut_off(&mut front, 5 * S, |_| standing_so(Standing::Unreachable(0)));
    assert!(sent.iter().all(|sent| sent.1.is_some()), "{sent:?}");
}

#[test]
fn what_this_front_could_not_read_is_not_forgotten_in_an_outage_that_follows() {
    for kind in [ListUpdate::Unreadable, ListUpdate::Stalled] {
        let mut front = Standby::confirmed().rig;
        front.list(kind, &[]);
        let sent = cut_off(&mut front, 20 * S, |_| reaches_nothing(OLD, 7));
        assert!(sent.iter().all(|sent| sent.1.is_none()), "{kind:?}: {sent:?}");
    }
}

#[test]
fn the_newest_list_known_of_counts_in_an_outage_though_an_older_one_has_a_lease_left() {
    let mut front = Standby::confirmed();
    front.rig.list(ListUpdate::Failed, &[]);
    wait(&mut front.rig, 5 * S);
    // Another vouches for machine 3 by the list that this front has...
    front.hear(OLD, 3 * S);
    // ...and discovery went away after it had told others of a newer one, without machine 3.
    let newer = |_| Message::Answer {
        nonce: 0,
        standing: Standing::Unreachable(0),
        subscription: Subscription::Missing,
        discovery_id: OLD,
        version: 7,
        confirmations: vec![Confirmation { fingerprint: fingerprint(&entry(2, 1, 0)), age: 0 }],
    };
    let heard = front.rig.now;
    let sent = cut_off(&mut front.rig, 15 * S, newer);
    let late: Vec<_> = sent.iter().filter(|sent| sent.0 > heard + 8 * S).map(|sent| sent.1).collect();
    assert!(late.iter().all(|machine| *machine == Some(2)), "{late:?}");
    // It passes that on as of the newer list.
    assert_eq!(told(&mut front.rig).version, 7);
}

#[test]
fn calls_after_a_move_take_no_longer_than_discovery_needs_for_them() {
    // 300 fronts, each at its place in 8 s until it hears that a call costs 10 ms and who waits.
    for (waiting, within) in [(true, 5 * S), (false, S)] {
        for me in [10, 100, 290] {
            let mut rig = Rig::new(watching(me, 300, true), 4);
            rig.say(Event::DiscoveryAddress { discovery_id: OLD, moved: false });
            rig.list(ListUpdate::Delta, &[]);
            rig.move_discovery(NEW);
            let moved = rig.now;
            let mut called = None;
            while called.is_none() {
                rig.now += 50 * MS;
                rig.tick();
                called = rig.did.contains(&Action::Subscribe(true)).then_some(rig.now);
                for (n, (peer, nonce)) in questions(&rig).into_iter().enumerate() {
                    let subscription = match waiting && n > 0 {
                        true => Subscription::Missing,
                        false => Subscription::OpenedRecently(10 * MS),
                    };
                    let (standing, source) = (Standing::Unknown, NEW);
                    let answer = Message::Answer {
                        nonce,
                        standing,
                        subscription,
                        discovery_id: source,
                        version: 0,
                        confirmations: vec![],
                    };
                    rig.say(Event::PeerMessage { from: peer.into(), bytes: &answer.encode() });
                }
            }
            assert!(called.is_some_and(|at| at <= moved + within), "front {me}: {called:?} after {moved}");
        }
    }
}
