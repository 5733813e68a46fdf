//! Model checks the ledger's decisions over all bounded interleavings of requesting, sending, finishing, committing, crashing
//! and retrying. The decisions are the crate's own code; the front and the disk around it are simplified models.

use stateright::{Checker, Model, Property};
use yarrowspoke_store::ledger::{decide, record_end, Decision, Outcome, Record, SpaceUsage, State};

/// An answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Answer {
    Served,
    Failed,
    Refused,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Front {
    Idle,
    /// Its intent is being written to disk.
    Beginning,
    /// It may be sent to a machine; the flag says whether it has run in this incarnation.
    Sent(bool),
    /// Its end is being written to disk.
    Ending,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Op {
    Begin(usize),
    End(usize, Answer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// Durable records.
    disk: Vec<Option<Record>>,
    /// Operations that wait for the disk, in order.
    group: Vec<Op>,
    /// Results of the group, once it is durable and before any client is notified.
    durable: Option<Vec<Option<Decision>>>,
    fronts: Vec<Front>,
    runs: Vec<u8>,
    answers: Vec<Vec<Answer>>,
    requests_left: Vec<u8>,
    crashes: u8,
    incarnation: u64,
    /// A request ran although its client was informed that it had not, and the client had not retried.
    broken_promise: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Request(usize),
    Run(usize),
    Finish(usize, Answer),
    Commit,
    Notify,
    Crash,
}

/// The model. `answers_early` injects a fault: the client is answered before the answer is durable.
struct Ledger {
    requests: usize,
    requests_left: u8,
    crashes: u8,
    answers_early: bool,
}

const EMPTY_LEDGER: SpaceUsage = SpaceUsage { bytes: 0, max_bytes: u64::MAX, first_expiry: None };
const NOW: u64 = 1;
const UNTIL: u64 = 1_000;

fn final_state(answer: Answer) -> State {
    match answer {
        Answer::Served => State::Done(Outcome::Served(None)),
        Answer::Failed => State::Done(Outcome::Failed),
        Answer::Refused => State::NotRun,
    }
}

impl World {
    fn commit(&mut self, op: &Op) -> Option<Decision> {
        match op {
            Op::Begin(r) => {
                let decision = decide(self.disk[*r].as_ref(), self.incarnation, NOW, &EMPTY_LEDGER, 1);
                if decision == Decision::Admit {
                    self.disk[*r] = Some(Record {
                        state: State::Intended,
                        incarnation: self.incarnation,
                        expires_at: UNTIL,
                    });
                }
                Some(decision)
            }
            Op::End(r, answer) => {
                if let Some(ended) =
                    record_end(self.disk[*r].as_ref(), self.incarnation, final_state(*answer), UNTIL)
                {
                    self.disk[*r] = Some(ended);
                }
                None
            }
        }
    }

    fn notify(&mut self, op: Op, decision: Option<Decision>, answers_early: bool) {
        match (op, decision) {
            (Op::Begin(r), Some(decision)) => {
                self.fronts[r] = Front::Idle;
                match decision {
                    Decision::Admit => self.fronts[r] = Front::Sent(false),
                    Decision::Replay(_) | Decision::AlreadyDone => self.answers[r].push(Answer::Served),
                    Decision::FailedBefore | Decision::InDoubt => self.answers[r].push(Answer::Failed),
                    Decision::InProgress | Decision::NoSpace(_) | Decision::OtherContent => {}
                }
            }
            (Op::End(r, answer), _) => {
                self.fronts[r] = Front::Idle;
                if !answers_early {
                    self.answers[r].push(answer);
                }
            }
            _ => {}
        }
    }
}

impl Model for Ledger {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            disk: vec![None; self.requests],
            group: vec![],
            durable: None,
            fronts: vec![Front::Idle; self.requests],
            runs: vec![0; self.requests],
            answers: vec![vec![]; self.requests],
            requests_left: vec![self.requests_left; self.requests],
            crashes: self.crashes,
            incarnation: 1,
            broken_promise: false,
        }]
    }

    fn actions(&self, world: &World, out: &mut Vec<Step>) {
        for r in 0..self.requests {
            match &world.fronts[r] {
                Front::Idle if world.requests_left[r] > 0 && world.durable.is_none() => {
                    out.push(Step::Request(r))
                }
                Front::Sent(ran) => {
                    if !ran {
                        out.push(Step::Run(r));
                    }
                    if world.durable.is_none() {
                        // A request is served only if it ran, and known not to have run only if it did not.
                        out.push(Step::Finish(r, if *ran { Answer::Served } else { Answer::Refused }));
                        out.push(Step::Finish(r, Answer::Failed));
                    }
                }
                _ => {}
            }
        }
        if !world.group.is_empty() && world.durable.is_none() {
            out.push(Step::Commit);
        }
        if world.durable.is_some() {
            out.push(Step::Notify);
        }
        if world.crashes > 0 {
            out.push(Step::Crash);
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::Request(r) => {
                world.requests_left[r] -= 1;
                world.fronts[r] = Front::Beginning;
                world.group.push(Op::Begin(r));
            }
            Step::Run(r) => {
                world.runs[r] += 1;
                world.fronts[r] = Front::Sent(true);
            }
            Step::Finish(r, answer) => {
                if self.answers_early {
                    world.answers[r].push(answer);
                }
                world.fronts[r] = Front::Ending;
                world.group.push(Op::End(r, answer));
            }
            Step::Commit => {
                let done = world.group.clone().iter().map(|op| world.commit(op)).collect();
                world.durable = Some(done);
            }
            Step::Notify => {
                let decisions = world.durable.take()?;
                for (op, decision) in std::mem::take(&mut world.group).into_iter().zip(decisions) {
                    world.notify(op, decision, self.answers_early);
                }
            }
            Step::Crash => {
                // Operations that were not durable are lost, and so is the front's state in memory.
                world.crashes -= 1;
                world.incarnation += 1;
                world.group.clear();
                world.durable = None;
                world.fronts = vec![Front::Idle; self.requests];
            }
        }
        // If a client's last answer said that a retry is safe and the client has not retried, the request must not have run.
        world.broken_promise |= (0..self.requests).any(|r| {
            world.answers[r].last() == Some(&Answer::Refused)
                && world.fronts[r] == Front::Idle
                && world.requests_left[r] == 0
                && { world.runs[r] > 0 && !matches!(&world.disk[r], Some(d) if d.state != State::NotRun) }
        });
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no request runs twice", |_, world| world.runs.iter().all(|n| *n <= 1)),
            Property::<Self>::always("no answer is contradicted", |_, world| {
                world.answers.iter().all(|t| !(t.contains(&Answer::Served) && t.contains(&Answer::Failed)))
            }),
            Property::<Self>::always("a refusal's promise is kept", |_, world| !world.broken_promise),
            Property::<Self>::always("what goes to a machine is durable", |_, world| {
                world.fronts.iter().zip(&world.disk).all(|(f, d)| !matches!(f, Front::Sent(_)) || d.is_some())
            }),
            Property::<Self>::sometimes("a request is in doubt", |_, world| {
                world
                    .disk
                    .iter()
                    .flatten()
                    .any(|d| d.state == State::Intended && d.incarnation < world.incarnation)
            }),
            Property::<Self>::sometimes("a request is served", |_, world| {
                world.answers.iter().any(|t| t.contains(&Answer::Served))
            }),
        ]
    }
}

#[test]
fn no_interleaving_runs_a_request_twice_or_contradicts_an_answer() {
    let ledger = Ledger { requests: 2, requests_left: 2, crashes: 2, answers_early: false };
    let checked = ledger.checker().threads(4).spawn_bfs().join();
    checked.assert_properties();
    eprintln!("{} states", checked.unique_state_count());
    assert!(checked.unique_state_count() > 10_000);
}

#[test]
fn an_answer_before_its_commit_is_detected() {
    let ledger = Ledger { requests: 1, requests_left: 2, crashes: 1, answers_early: true };
    let checked = ledger.checker().spawn_bfs().join();
    assert!(checked.discovery("no answer is contradicted").is_some());
}
