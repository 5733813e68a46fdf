//! Model check of quarantine and return to service: every order of heartbeats, answers, late answers, suspensions,
//! and restarts of planners and fronts, for a small fleet. Two fronts must never be out at once where one may be, and
//! no front may be out without a majority of votes.

use stateright::{Checker, Model, Property};

const FRONTS: usize = 2;
const PLANNERS: usize = 3;
const MAJORITY: usize = 2;

/// A deliberate mistake, to check that the properties find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mistake {
    None,
    /// A planner frees a slot as soon as it withdraws its vote, before the front has confirmed that it received the
    /// withdrawal.
    FreesSlotEarly,
    /// A planner that lost its state votes before it has heard which fronts hold its votes.
    VotesBeforeHearingAll,
    /// A front takes any single vote for a majority.
    OneVoteIsEnough,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct Vote {
    front: Option<usize>,
    /// Number of the heartbeat in whose answer the vote was withdrawn.
    withdrawn_in: Option<u8>,
}

/// There is one slot only: the limit is one front.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// By planner: the front that it voted into the slot.
    votes: [Vote; PLANNERS],
    /// By planner: the fronts heard since its start. It may vote only after it has heard all of them.
    heard: [[bool; FRONTS]; PLANNERS],
    /// By front and planner: the vote as the front knows it, the number of the last heartbeat, and that of the last
    /// answer used.
    known: [[bool; PLANNERS]; FRONTS],
    sent: [[u8; PLANNERS]; FRONTS],
    taken: [[u8; PLANNERS]; FRONTS],
    /// Answers in flight: front, planner, number of the heartbeat, whether it carries a vote.
    answers: Vec<(usize, usize, u8, bool)>,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// A front sends a planner a heartbeat; the flag tells whether the planner wants it out at this moment.
    Heartbeat(usize, usize, bool),
    /// An answer arrives, late and in any order.
    Deliver(usize),
    Lose(usize),
    RestartPlanner(usize),
}

struct Slots {
    mistake: Mistake,
}

const MAX_HEARTBEATS: u8 = 2;
const MAX_ANSWERS: usize = 3;

impl Slots {
    fn is_out(&self, state: &State, front: usize) -> bool {
        let needed = if self.mistake == Mistake::OneVoteIsEnough { 1 } else { MAJORITY };
        state.known[front].iter().filter(|v| **v).count() >= needed
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

    fn actions(&self, state: &State, out: &mut Vec<Step>) {
        for f in 0..FRONTS {
            for p in (0..PLANNERS)
                .filter(|p| state.sent[f][*p] < MAX_HEARTBEATS && state.answers.len() < MAX_ANSWERS)
            {
                out.extend([Step::Heartbeat(f, p, true), Step::Heartbeat(f, p, false)]);
            }
        }
        out.extend((0..state.answers.len()).flat_map(|n| [Step::Deliver(n), Step::Lose(n)]));
        if state.restarts < 1 {
            out.extend((0..PLANNERS).map(Step::RestartPlanner));
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut state = state.clone();
        match step {
            Step::Heartbeat(f, p, wanted) => {
                state.sent[f][p] += 1;
                let (number, knows_vote) = (state.sent[f][p], state.known[f][p]);
                state.heard[p][f] = true;
                let vote = &mut state.votes[p];
                match vote.front {
                    // A vote of the planner's earlier incarnation that the front knows of is still binding.
                    None if knows_vote => *vote = Vote { front: Some(f), withdrawn_in: None },
                    Some(g) if g == f => match vote.withdrawn_in {
                        Some(at) if number > at && !knows_vote => *vote = Vote::default(),
                        None if !wanted => vote.withdrawn_in = Some(number),
                        _ => {}
                    },
                    _ => {}
                }
                if vote.withdrawn_in.is_some() && self.mistake == Mistake::FreesSlotEarly {
                    *vote = Vote::default();
                    state.answers.push((f, p, number, false));
                    return Some(state);
                }
                let may_vote =
                    self.mistake == Mistake::VotesBeforeHearingAll || state.heard[p].iter().all(|h| *h);
                if vote.front.is_none() && wanted && may_vote {
                    *vote = Vote { front: Some(f), withdrawn_in: None };
                }
                let voted = vote.front == Some(f) && vote.withdrawn_in.is_none();
                state.answers.push((f, p, number, voted));
            }
            Step::Deliver(n) => {
                let (f, p, number, voted) = state.answers.remove(n);
                if number > state.taken[f][p] {
                    state.taken[f][p] = number;
                    state.known[f][p] = voted;
                }
            }
            Step::Lose(n) => drop(state.answers.remove(n)),
            Step::RestartPlanner(p) => {
                state.restarts += 1;
                state.votes[p] = Vote::default();
                state.heard[p] = [false; FRONTS];
                // An answer of the earlier incarnation may still be in flight, but the planner does not vote before
                // the duration of a lease has passed. Fronts wait for an answer for less than that, so none is used
                // by then.
                state.answers.retain(|a| a.1 != p);
            }
        }
        state.answers.sort_unstable();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one front is out", |m: &Self, state: &State| {
                (0..FRONTS).filter(|f| m.is_out(state, *f)).count() <= 1
            }),
            Property::sometimes("a front is out", |m: &Self, state: &State| {
                (0..FRONTS).any(|f| m.is_out(state, f))
            }),
            Property::sometimes(
                "the other front is out after a planner restart",
                |m: &Self, state: &State| state.restarts > 0 && m.is_out(state, 1),
            ),
        ]
    }
}

/// Returns whether the mistake is found, and among how many states. The depth increases step by step, so that a
/// shallow mistake is found cheaply.
fn find_mistake(mistake: Mistake) -> (usize, bool) {
    let at = |depth| {
        let checked = Slots { mistake }.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
        (checked.unique_state_count(), checked.discovery("at most one front is out").is_some())
    };
    (8..=11).map(at).find(|f| f.1).unwrap_or((0, false))
}

#[test]
fn no_order_of_messages_and_restarts_puts_two_fronts_out() {
    let checked =
        Slots { mistake: Mistake::None }.checker().threads(4).target_max_depth(10).spawn_bfs().join();
    assert!(checked.discovery("at most one front is out").is_none());
    assert!(checked.discovery("a front is out").is_some());
    assert!(checked.unique_state_count() > 20_000, "{}", checked.unique_state_count());
}

#[test]
fn each_mistake_is_found() {
    for mistake in [Mistake::FreesSlotEarly, Mistake::VotesBeforeHearingAll, Mistake::OneVoteIsEnough] {
        let (states, is_found) = find_mistake(mistake);
        assert!(is_found, "{mistake:?} after {states} states");
    }
}
