//! Model check of quarantining and coming back: every order of heartbeats, answers, late answers, stops, restarts of
//! planners and fronts, at a small size. What must never be: two fronts out at once where one may be, or a front out whom
//! no majority holds.

use stateright::{Checker, Model, Property};

const FRONTS: usize = 2;
const PLANNERS: usize = 3;
const MAJORITY: usize = 2;

/// A mistake put in on purpose, to see that the properties find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mistake {
    None,
    /// A planner frees a slot as soon as it takes its vote back, not when the front shows that it knows.
    FreesAtOnce,
    /// A planner that lost its memory votes without having heard who holds its votes.
    VotesBlind,
    /// A front takes any vote for a majority.
    OneVoteIsEnough,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct Vote {
    front: Option<usize>,
    /// Taken back, in the answer to this heartbeat.
    lifted: Option<u8>,
}

/// One slot only: the limit is one front.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// By planner: whom it voted into the slot.
    votes: [Vote; PLANNERS],
    /// By planner: fronts heard since its start; all before it may vote.
    heard: [[bool; FRONTS]; PLANNERS],
    /// By front and planner: the vote as the front knows it, number of the last heartbeat, and of the last answer taken.
    known: [[bool; PLANNERS]; FRONTS],
    sent: [[u8; PLANNERS]; FRONTS],
    taken: [[u8; PLANNERS]; FRONTS],
    /// Answers under way: front, planner, heartbeat's number, voted.
    answers: Vec<(usize, usize, u8, bool)>,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// A front sends a planner its heartbeat, which either wants it out or not at this moment.
    Heartbeat(usize, usize, bool),
    /// An answer arrives; late and in any order.
    Deliver(usize),
    Lose(usize),
    RestartPlanner(usize),
}

struct Slots {
    mistake: Mistake,
}

const MOST_HEARTBEATS: u8 = 2;
const MOST_ANSWERS: usize = 3;

impl Slots {
    fn out(&self, s: &State, front: usize) -> bool {
        let needed = if self.mistake == Mistake::OneVoteIsEnough { 1 } else { MAJORITY };
        s.known[front].iter().filter(|v| **v).count() >= needed
    }
}

impl Model for Slots {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            votes: Default::default(),
            heard: [[true; FRONTS]; PLANNERS],
            known: Default::default(),
            sent: Default::default(),
            taken: Default::default(),
            answers: vec![],
            restarts: 0,
        }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Step>) {
        for f in 0..FRONTS {
            for p in
                (0..PLANNERS).filter(|p| s.sent[f][*p] < MOST_HEARTBEATS && s.answers.len() < MOST_ANSWERS)
            {
                out.extend([Step::Heartbeat(f, p, true), Step::Heartbeat(f, p, false)]);
            }
        }
        out.extend((0..s.answers.len()).flat_map(|n| [Step::Deliver(n), Step::Lose(n)]));
        if s.restarts < 1 {
            out.extend((0..PLANNERS).map(Step::RestartPlanner));
        }
    }

    fn next_state(&self, s: &State, step: Step) -> Option<State> {
        let mut s = s.clone();
        match step {
            Step::Heartbeat(f, p, wanted) => {
                s.sent[f][p] += 1;
                let (number, told) = (s.sent[f][p], s.known[f][p]);
                s.heard[p][f] = true;
                let vote = &mut s.votes[p];
                match vote.front {
                    // What the front knows from the planner's earlier incarnation still binds.
                    None if told => *vote = Vote { front: Some(f), lifted: None },
                    Some(g) if g == f => match vote.lifted {
                        Some(at) if number > at && !told => *vote = Vote::default(),
                        None if !wanted => vote.lifted = Some(number),
                        _ => {}
                    },
                    _ => {}
                }
                if vote.lifted.is_some() && self.mistake == Mistake::FreesAtOnce {
                    *vote = Vote::default();
                    s.answers.push((f, p, number, false));
                    return Some(s);
                }
                let knows = self.mistake == Mistake::VotesBlind || s.heard[p].iter().all(|h| *h);
                if vote.front.is_none() && wanted && knows {
                    *vote = Vote { front: Some(f), lifted: None };
                }
                let voted = vote.front == Some(f) && vote.lifted.is_none();
                s.answers.push((f, p, number, voted));
            }
            Step::Deliver(n) => {
                let (f, p, number, voted) = s.answers.remove(n);
                if number > s.taken[f][p] {
                    s.taken[f][p] = number;
                    s.known[f][p] = voted;
                }
            }
            Step::Lose(n) => drop(s.answers.remove(n)),
            Step::RestartPlanner(p) => {
                s.restarts += 1;
                s.votes[p] = Vote::default();
                s.heard[p] = [false; FRONTS];
                // An answer of its earlier incarnation may still be under way, but a lease's span passes before it votes:
                // none is taken by then, as the front waits for an answer for less than that.
                s.answers.retain(|a| a.1 != p);
            }
        }
        s.answers.sort_unstable();
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one at the most is out", |m: &Self, s: &State| {
                (0..FRONTS).filter(|f| m.out(s, *f)).count() <= 1
            }),
            Property::sometimes("one is out", |m: &Self, s: &State| (0..FRONTS).any(|f| m.out(s, f))),
            Property::sometimes("the other is out, after a restart of a planner", |m: &Self, s: &State| {
                s.restarts > 0 && m.out(s, 1)
            }),
        ]
    }
}

/// Whether it is found, and among how many states: deeper and deeper, so that a shallow one costs little.
fn found(mistake: Mistake) -> (usize, bool) {
    let at = |depth| {
        let checked = Slots { mistake }.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
        (checked.unique_state_count(), checked.discovery("one at the most is out").is_some())
    };
    (8..=11).map(at).find(|f| f.1).unwrap_or((0, false))
}

#[test]
fn no_order_of_messages_and_restarts_puts_two_fronts_out() {
    let checked =
        Slots { mistake: Mistake::None }.checker().threads(4).target_max_depth(10).spawn_bfs().join();
    assert!(checked.discovery("one at the most is out").is_none());
    assert!(checked.discovery("one is out").is_some());
    assert!(checked.unique_state_count() > 20_000, "{}", checked.unique_state_count());
}

#[test]
fn each_mistake_is_found() {
    for mistake in [Mistake::FreesAtOnce, Mistake::VotesBlind, Mistake::OneVoteIsEnough] {
        let (states, wrong) = found(mistake);
        assert!(wrong, "{mistake:?} after {states} states");
    }
}
