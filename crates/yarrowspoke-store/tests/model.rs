//! The ledger's rules, checked over all interleavings of asking, sending, ending, committing, crashing and asking again,
//! within a bound. The rulings are those of the crate; around them stands a front and a disk in small.

use stateright::{Checker, Model, Property};
use yarrowspoke_store::ledger::{decide, record_end, Decision, Outcome, Record, SpaceUsage, State};

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Told {
    Served,
    Failed,
    Refused,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Front {
    Idle,
    /// Its intent is on its way to the disk.
    Beginning,
    /// It may go to a machine, and has or has not run in this life.
    Sent(bool),
    /// Its end is on its way to the disk.
    Ending,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Op {
    Begin(usize),
    End(usize, Told),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// What is durable.
    disk: Vec<Option<Record>>,
    /// What waits for the disk, in order.
    group: Vec<Op>,
    /// What the group came to, once it is durable and nobody has heard of it yet.
    durable: Option<Vec<Option<Decision>>>,
    fronts: Vec<Front>,
    runs: Vec<u8>,
    told: Vec<Vec<Told>>,
    asks: Vec<u8>,
    crashes: u8,
    incarnation: u64,
    /// A request ran after its client had been told that it had not, and had not asked again.
    broken_promise: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Ask(usize),
    Run(usize),
    Finish(usize, Told),
    Commit,
    Hear,
    Crash,
}

/// The model; `early` is a mistake: the client is told before its answer is durable.
struct Ledger {
    requests: usize,
    asks: u8,
    crashes: u8,
    early: bool,
}

const ROOM: SpaceUsage = SpaceUsage { bytes: 0, max_bytes: u64::MAX, first_expiry: None };
const NOW: u64 = 1;
const UNTIL: u64 = 1_000;

fn recorded(told: Told) -> State {
    match told {
        Told::Served => State::Done(Outcome::Served(None)),
        Told::Failed => State::Done(Outcome::Failed),
        Told::Refused => State::NotRun,
    }
}

impl World {
    fn commit(&mut self, op: &Op) -> Option<Decision> {
        match op {
            Op::Begin(r) => {
                let ruling = decide(self.disk[*r].as_ref(), self.incarnation, NOW, &ROOM, 1);
                if ruling == Decision::Admit {
                    self.disk[*r] = Some(Record {
                        state: State::Intended,
                        incarnation: self.incarnation,
                        expires_at: UNTIL,
                    });
                }
                Some(ruling)
            }
            Op::End(r, told) => {
                if let Some(ended) =
                    record_end(self.disk[*r].as_ref(), self.incarnation, recorded(*told), UNTIL)
                {
                    self.disk[*r] = Some(ended);
                }
                None
            }
        }
    }

    fn hear(&mut self, op: Op, ruling: Option<Decision>, early: bool) {
        match (op, ruling) {
            (Op::Begin(r), Some(ruling)) => {
                self.fronts[r] = Front::Idle;
                match ruling {
                    Decision::Admit => self.fronts[r] = Front::Sent(false),
                    Decision::Replay(_) | Decision::AlreadyDone => self.told[r].push(Told::Served),
                    Decision::FailedBefore | Decision::InDoubt => self.told[r].push(Told::Failed),
                    Decision::InProgress | Decision::NoSpace(_) => {}
                }
            }
            (Op::End(r, told), _) => {
                self.fronts[r] = Front::Idle;
                if !early {
                    self.told[r].push(told);
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
            told: vec![vec![]; self.requests],
            asks: vec![self.asks; self.requests],
            crashes: self.crashes,
            incarnation: 1,
            broken_promise: false,
        }]
    }

    fn actions(&self, w: &World, out: &mut Vec<Step>) {
        for r in 0..self.requests {
            match &w.fronts[r] {
                Front::Idle if w.asks[r] > 0 && w.durable.is_none() => out.push(Step::Ask(r)),
                Front::Sent(ran) => {
                    if !ran {
                        out.push(Step::Run(r));
                    }
                    if w.durable.is_none() {
                        // Served only if it ran; known not to have run only if it did not.
                        out.push(Step::Finish(r, if *ran { Told::Served } else { Told::Refused }));
                        out.push(Step::Finish(r, Told::Failed));
                    }
                }
                _ => {}
            }
        }
        if !w.group.is_empty() && w.durable.is_none() {
            out.push(Step::Commit);
        }
        if w.durable.is_some() {
            out.push(Step::Hear);
        }
        if w.crashes > 0 {
            out.push(Step::Crash);
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut w = before.clone();
        match step {
            Step::Ask(r) => {
                w.asks[r] -= 1;
                w.fronts[r] = Front::Beginning;
                w.group.push(Op::Begin(r));
            }
            Step::Run(r) => {
                w.runs[r] += 1;
                w.fronts[r] = Front::Sent(true);
            }
            Step::Finish(r, told) => {
                if self.early {
                    w.told[r].push(told);
                }
                w.fronts[r] = Front::Ending;
                w.group.push(Op::End(r, told));
            }
            Step::Commit => {
                let done = w.group.clone().iter().map(|op| w.commit(op)).collect();
                w.durable = Some(done);
            }
            Step::Hear => {
                let rulings = w.durable.take()?;
                for (op, ruling) in std::mem::take(&mut w.group).into_iter().zip(rulings) {
                    w.hear(op, ruling, self.early);
                }
            }
            Step::Crash => {
                // What was not durable is gone, and so is all that the front knew.
                w.crashes -= 1;
                w.incarnation += 1;
                w.group.clear();
                w.durable = None;
                w.fronts = vec![Front::Idle; self.requests];
            }
        }
        // Who was told last that trying again is harmless, and has not asked again, must find nothing run.
        w.broken_promise |= (0..self.requests).any(|r| {
            w.told[r].last() == Some(&Told::Refused) && w.fronts[r] == Front::Idle && w.asks[r] == 0 && {
                w.runs[r] > 0 && !matches!(&w.disk[r], Some(d) if d.state != State::NotRun)
            }
        });
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no request runs twice", |_, w| w.runs.iter().all(|n| *n <= 1)),
            Property::<Self>::always("no answer is contradicted", |_, w| {
                w.told.iter().all(|t| !(t.contains(&Told::Served) && t.contains(&Told::Failed)))
            }),
            Property::<Self>::always("a refusal's promise is kept", |_, w| !w.broken_promise),
            Property::<Self>::always("what goes to a machine is durable", |_, w| {
                w.fronts.iter().zip(&w.disk).all(|(f, d)| !matches!(f, Front::Sent(_)) || d.is_some())
            }),
            Property::<Self>::sometimes("a request is in doubt", |_, w| {
                w.disk.iter().flatten().any(|d| d.state == State::Intended && d.incarnation < w.incarnation)
            }),
            Property::<Self>::sometimes("a request is served", |_, w| {
                w.told.iter().any(|t| t.contains(&Told::Served))
            }),
        ]
    }
}

#[test]
fn over_all_interleavings_nothing_runs_twice_and_no_answer_is_contradicted() {
    let ledger = Ledger { requests: 2, asks: 2, crashes: 2, early: false };
    let checked = ledger.checker().threads(4).spawn_bfs().join();
    checked.assert_properties();
    eprintln!("{} states", checked.unique_state_count());
    assert!(checked.unique_state_count() > 10_000);
}

#[test]
fn an_answer_before_its_commit_is_found_out() {
    let ledger = Ledger { requests: 1, asks: 2, crashes: 1, early: true };
    let checked = ledger.checker().spawn_bfs().join();
    assert!(checked.discovery("no answer is contradicted").is_some());
}
